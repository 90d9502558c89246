import {RefusalCode, type RefusalFacts} from '../refusals/refusal.js';
import type {RefusalRecord} from './refusal-record.js';

/** Maximum number of facts in one record. */
const MAX_FACTS = 24;

/** Maximum lengths of a fact's name and of its text, in characters. */
const MAX_FACT_NAME_LENGTH = 40;
const MAX_FACT_TEXT_LENGTH = 120;

/** Maximum length of a reason, in characters. */
const MAX_REASON_LENGTH = 240;

/** Maximum length of a name or id, in characters. Request ids and group names can be any text that a caller sent. */
const MAX_NAME_LENGTH = 64;

/** Marks the place of removed text. */
const TRUNCATION_MARK = '…';

/** Name of the fact that states how many other facts were omitted. */
export const LEFT_OUT_FACT = 'factsLeftOut';

/**
 * Returns a copy of a record with truncated texts and a limited number of facts.
 *
 * The memory for records is limited by their count only. Without this limit on their size, a caller that sends long names
 * and ids in many refused requests could make that memory grow.
 */
export function boundRecord(record: RefusalRecord): RefusalRecord {
	return {
		code: record.code,
		reason: truncateText(redactQuotedValues(record), MAX_REASON_LENGTH),
		retryAfterMs: record.retryAfterMs,
		facts: boundFacts(record.facts),
		requestId: truncateText(record.requestId, MAX_NAME_LENGTH),
		group: truncateText(record.group, MAX_NAME_LENGTH),
		asked: truncateText(record.asked, MAX_NAME_LENGTH),
		class: truncateText(record.class, MAX_NAME_LENGTH),
		sessionId: record.sessionId === undefined ? undefined : truncateText(record.sessionId, MAX_NAME_LENGTH),
		outcome: record.outcome,
		host: truncateText(record.host, MAX_NAME_LENGTH),
		at: record.at,
		configVersion: record.configVersion,
	};
}

/** Returns the first `count` facts, with a further fact that states how many were omitted, if any. */
export function limitFacts(facts: RefusalFacts, count: number): RefusalFacts {
	const entries = Object.entries(facts).filter(([name]) => name !== LEFT_OUT_FACT);
	const before = Number(facts[LEFT_OUT_FACT] ?? 0);
	const leftOut = before + Math.max(0, entries.length - count);
	const kept = Object.fromEntries(entries.slice(0, count));
	return leftOut > 0 ? {...kept, [LEFT_OUT_FACT]: leftOut} : kept;
}

function boundFacts(facts: RefusalFacts): RefusalFacts {
	const bounded: Record<string, string | number | boolean> = {};
	let count = 0;
	for (const name in facts) {
		if (!Object.hasOwn(facts, name) || facts[name] === undefined) {
			continue;
		}

		const value = facts[name];
		bounded[truncateText(name, MAX_FACT_NAME_LENGTH)] = typeof value === 'string' ? truncateText(value, MAX_FACT_TEXT_LENGTH) : value;
		count++;
	}

	return count > MAX_FACTS ? limitFacts(bounded, MAX_FACTS) : bounded;
}

/**
 * Returns the record's reason without the values that a database server quotes.
 *
 * A server's error message repeats the caller's values between quotes or in parentheses. They must not be kept, because a
 * record outlives its request in memory and in the platform.
 */
function redactQuotedValues({code, reason}: RefusalRecord): string {
	return code === RefusalCode.StatementFailed ? reason.replaceAll(/"[^"]*"|'[^']*'|\([^\)]*\)/gv, TRUNCATION_MARK) : reason;
}

/** Truncates a text to at most `length` characters, the truncation mark included. */
export function truncateText(text: string, length: number): string {
	return text.length <= length ? text : text.slice(0, length - 1) + TRUNCATION_MARK;
}
