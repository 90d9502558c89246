import {formatDuration, formatInstant} from '../time/format-time.js';
import type {RefusalFacts} from '../refusals/refusal.js';
import {LEFT_OUT_FACT} from './bounded-record.js';

/** Phrases by the name of a fact. A fact without a phrase is described by its name. */
const phrases: Readonly<Record<string, (value: string) => string>> = {
	endpoint: value => `the endpoint was ${value}`,
	host: value => `the host was ${value}`,
	primary: value => `the primary was ${value}`,
	term: value => `the term was ${value}`,
	highestTerm: value => `the highest term seen was ${value}`,
	position: value => `the position was ${value}`,
	floorTerm: value => `the session's floor was of term ${value}`,
	floorPosition: value => `the session's floor was position ${value}`,
	ageMs: value => `its data was at most ${value} old`,
	lagMs: value => `it lagged by ${value}`,
	maxAgeMs: value => `the request accepted data of ${value}`,
	readAgeLimitMs: value => `the group's read-age limit was ${value}`,
	queued: value => `${value} requests were waiting`,
	maxQueued: value => `the queue had room for ${value}`,
	running: value => `${value} were running`,
	limit: value => `${value} may run at once`,
	lent: value => `${value} connections were in use`,
	predictedWaitMs: value => `the predicted wait was ${value}`,
	serviceMs: value => `one took about ${value}`,
	waitedMs: value => `it had waited ${value}`,
	remainingMs: value => `${value} were left until its deadline`,
	configVersion: value => `the group's configuration was at version ${value}`,
	configRevision: value => `the configuration was at revision ${value}`,
	keyRetentionMs: value => `the group keeps request keys for ${value}`,
	durability: value => `the group's durability was ${value}`,
	cause: value => `the cause was "${value}"`,
	tries: value => `it had been tried ${value} times`,
	lastCode: value => `the last try had ended with ${value}`,
	since: value => `this had lasted since ${value}`,
	failingSince: value => `it had given no answer since ${value}`,
	madeAt: value => `the request id was made at ${value}`,
	sent: value => value === 'yes' ? 'something had been sent' : 'nothing had been sent',
	[LEFT_OUT_FACT]: value => `${value} more facts did not fit`,
};

/** Returns a short phrase for each fact. */
export function describeFacts(facts: RefusalFacts): string[] {
	return Object.entries(facts)
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => describeFact(name, value!));
}

function describeFact(name: string, value: string | number | boolean): string {
	const text = describeValue(name, value);
	const phrase = Object.hasOwn(phrases, name) ? phrases[name] : undefined;
	return phrase ? phrase(text) : `${toWords(name)} was ${text}`;
}

function describeValue(name: string, value: string | number | boolean): string {
	if (typeof value === 'number' && /(?:At|Since|^since|wallMs)$/v.test(name)) {
		return formatInstant(value);
	}

	if (typeof value === 'number' && name.endsWith('Ms')) {
		return formatDuration(value);
	}

	if (typeof value === 'boolean') {
		return value ? 'yes' : 'no';
	}

	return String(value);
}

/** Splits a camel-case name into words: `budgetLeft` becomes `budget left`. */
function toWords(name: string): string {
	return name.replace(/Ms$/v, '').replaceAll(/[A-Z]/gv, letter => ` ${letter.toLowerCase()}`);
}
