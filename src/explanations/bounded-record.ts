import {RefusalCode, type RefusalFacts} from '../refusals/refusal.js';
import type {RefusalRecord} from './refusal-record.js';

/** Most facts kept of one record. */
const MAX_FACTS = 24;

/** Longest name and longest text of a fact, in characters. */
const MAX_FACT_NAME = 40;
const MAX_FACT_TEXT = 120;

/** Longest reason, in characters. */
const MAX_REASON = 240;

/** Longest name or id, in characters; request ids and group names may be whatever a caller sent. */
const MAX_NAME = 64;

/** What marks a text that was cut. */
const CUT_MARK = '…';

/** The fact that says how many others were left out. */
export const LEFT_OUT_FACT = 'factsLeftOut';

/**
 * Cuts a record to a bounded size.
 *
 * Guards against a caller who sends long names and ids in a storm of refusals: without it the memory that holds
 * records, bounded by their count, would grow with what callers choose to send.
 */
export function boundRecord(record: RefusalRecord): RefusalRecord {
	return {
		code: record.code,
		reason: cut(hideValues(record), MAX_REASON),
		retryAfterMs: record.retryAfterMs,
		facts: boundFacts(record.facts),
		requestId: cut(record.requestId, MAX_NAME),
		group: cut(record.group, MAX_NAME),
		asked: cut(record.asked, MAX_NAME),
		class: cut(record.class, MAX_NAME),
		sessionId: record.sessionId === undefined ? undefined : cut(record.sessionId, MAX_NAME),
		outcome: record.outcome,
		host: cut(record.host, MAX_NAME),
		at: record.at,
		configVersion: record.configVersion,
	};
}

/** Leaves out the last facts until `count` are left, and says so among them. */
export function keepFacts(facts: RefusalFacts, count: number): RefusalFacts {
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
		bounded[cut(name, MAX_FACT_NAME)] = typeof value === 'string' ? cut(value, MAX_FACT_TEXT) : value;
		count++;
	}

	return count > MAX_FACTS ? keepFacts(bounded, MAX_FACTS) : bounded;
}

/**
 * The record's reason without what a database server quotes.
 *
 * Guards against a caller's values in records: a server's error message repeats them between quotes, and a record
 * outlives the request in memory and in the platform.
 */
function hideValues({code, reason}: RefusalRecord): string {
	return code === RefusalCode.StatementFailed ? reason.replaceAll(/"[^"]*"|'[^']*'|\([^\)]*\)/gv, CUT_MARK) : reason;
}

/** Cuts a text to `length` characters. */
export function cut(text: string, length: number): string {
	return text.length <= length ? text : text.slice(0, length - 1) + CUT_MARK;
}
