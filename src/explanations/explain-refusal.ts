import {Outcome} from '../callers/caller-response.js';
import {RequestKind} from '../callers/caller-request.js';
import {formatDuration, formatInstant} from '../time/format-time.js';
import {RefusalCode} from '../refusals/refusal.js';
import {describeFacts} from './describe-facts.js';
import {refusalExplanations, type RefusalExplanation} from './refusal-explanations.js';
import type {RefusalRecord} from './refusal-record.js';

/** Explanation of a code that a newer version has added. */
const UNKNOWN_CODE: RefusalExplanation = {
	rule: 'this version does not know the code; the reason is all it has',
	notRun: 'The host that decided said so.',
	advice: 'Ask a host of the newer version.',
};

/** Explains a refusal or a delay in whole sentences that an operator can read aloud to the caller. */
export function explainRefusal(record: RefusalRecord): string[] {
	const explanation = Object.hasOwn(refusalExplanations, record.code) ? refusalExplanations[record.code] : UNKNOWN_CODE;
	return [
		describeRequest(record),
		describeKnownFacts(record),
		`The rule that decided (${record.code}): ${explanation.rule}.`,
		describeOutcome(record, explanation),
		describeRetryDelay(record),
		explanation.advice,
	].filter(sentence => sentence !== '');
}

function describeRequest(record: RefusalRecord): string {
	const verb = record.code === RefusalCode.Delayed ? 'served late' : 'did not serve';
	const workClass = record.class === '' ? '' : ` of class ${record.class}`;
	const group = record.group === '' ? '' : ` on group ${record.group}`;
	const session = record.sessionId === undefined ? '' : `, session ${record.sessionId}`;
	return `At ${formatInstant(record.at)} host ${record.host} ${verb} a request (${record.asked}${workClass}${group}), `
		+ `id ${record.requestId}${session}: ${record.reason}.`;
}

function describeKnownFacts({facts, configVersion}: RefusalRecord): string {
	const config = configVersion > 0 && facts.configVersion === undefined ? {...facts, configVersion} : facts;
	const known = describeFacts(config);
	return known.length > 0 ? `What the host knew then: ${known.join('; ')}.` : '';
}

function describeOutcome({outcome, asked}: RefusalRecord, {notRun}: RefusalExplanation): string {
	switch (outcome) {
		case Outcome.NotRun: {
			return `It did not run. ${notRun}`;
		}

		case Outcome.Unknown: {
			return asked === RequestKind.Read
				? 'It may have run without its answer arriving; a read changes nothing and can be sent again.'
				: 'It may have run: nobody could tell then. Asking for its outcome under the same request id settles it.';
		}

		case Outcome.Done: {
			return 'It ran, and the caller got its answer.';
		}
	}
}

function describeRetryDelay({outcome, retryAfterMs}: RefusalRecord): string {
	if (outcome === Outcome.Done) {
		return '';
	}

	if (retryAfterMs === undefined) {
		return 'The caller was told no time to come back, since coming back alone does not help.';
	}

	return retryAfterMs <= 0
		? 'The caller was told to come back at once.'
		: `The caller was told to come back after ${formatDuration(retryAfterMs)}.`;
}
