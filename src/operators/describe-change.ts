import type {AuditEntry} from '../audit/audit-entry.js';
import {ChangeResult, type ChangeAnswer} from '../audit/change.js';
import {formatInstant} from '../time/format-time.js';
import {answerOk, answerRefused} from './answers.js';
import type {CommandAnswer} from './operator-commands.js';

/** Maximum length of a value in the text, in characters; the answer's data contains the whole value. */
const MAX_VALUE_LENGTH = 120;

/** Returns the answer to an operator that describes the result of a change. */
export function describeChange(answer: ChangeAnswer, changeId: string): CommandAnswer {
	const data = {...answer, changeId};
	switch (answer.result) {
		case ChangeResult.Applied: {
			const {entry, repeated} = answer;
			const before = repeated ? 'Done before, this was the same command again' : 'Done';
			return answerOk(`${before}: ${describeEntry(entry)}. ${describeParts(entry)}`, data);
		}

		case ChangeResult.Unchanged: {
			const {by} = answer;
			return answerOk(`Nothing to change, it stands so already${by ? `: ${describeEntry(by)}` : ''}.`, data);
		}

		case ChangeResult.Refused: {
			const {reason, beatenBy} = answer;
			return answerRefused(`Refused, nothing was changed: ${reason}.${beatenBy ? ` What stands: ${describeEntry(beatenBy)}.` : ''}`, data);
		}

		case ChangeResult.Unknown: {
			return answerRefused(`Not known: ${answer.reason}. "show changes" lists it under ${changeId} once it is in force; sent again, it takes effect once.`, data);
		}
	}
}

function describeEntry({who, what, at}: AuditEntry): string {
	return `"${what}" by ${who} at ${formatInstant(at)}`;
}

function describeParts({from, to}: AuditEntry): string {
	return `From ${describePart(from)} to ${describePart(to)}.`;
}

/** Formats the fields of a changed part as `name value` pairs; returns an empty text for a part that is null. */
export function describePart(part: unknown): string {
	return Object.entries(part ?? {})
		.map(([name, value]) => `${name} ${describeValue(value)}`)
		.join(', ');
}

function describeValue(value: unknown): string {
	if (value === null) {
		return 'none';
	}

	const text = typeof value === 'string' ? value : JSON.stringify(value);
	return text.length <= MAX_VALUE_LENGTH ? text : '…';
}
