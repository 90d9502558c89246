import {parseLogEvent, type LogEvent} from './log-event.js';

/** How often something was seen, by its cause. */
export type Counts = Readonly<Record<string, number>>;

/** A change of a group's primary. */
export type PrimaryChange = {
	readonly at: number;
	readonly host: string;
	readonly group: string;
	readonly primary: string;
	/** Why it was replaced; undefined where the beginning is not in the logs. */
	readonly reason?: string;
	/** Time of its parts, in milliseconds, as the host that did it tells them. */
	readonly partsMs: Counts;
};

/** How a version of the configuration spread. */
export type ConfigurationSpread = {
	readonly version: number;
	/** Hosts that have it. */
	readonly hosts: number;
	readonly firstAt: number;
	/** When the last of these had it. */
	readonly lastAt: number;
};

/** A return of the platform's store from a copy. */
export type StoreReturn = {
	readonly generation: number;
	/** Hosts that tell of it. */
	readonly hosts: number;
	readonly firstAt: number;
	/** When the last of these saw it. */
	readonly lastAt: number;
	/** Records of leadership that hosts wrote again. */
	readonly recordsWritten: number;
};

/** What the logs of a fleet tell. */
export type FleetReport = {
	readonly lines: number;
	/** Lines that are none of a proxy, were cut, or cannot be read. */
	readonly unreadLines: number;
	readonly hosts: number;
	/** Time of the first and the last line; undefined where there is none. */
	readonly from?: number;
	readonly to?: number;
	/** By answer code, and by what callers were told. */
	readonly refusalsByCode: Counts;
	readonly refusalsByText: Counts;
	readonly refusalsByDatabase: Counts;
	/** By workspace and answer code, of callers with a key. */
	readonly refusalsByWorkspace: Counts;
	/** By why it was tried again. */
	readonly retries: Counts;
	readonly lateAnswers: number;
	/** Commits and writes that nobody can tell the outcome of, by kind. */
	readonly unknownOutcomes: Counts;
	readonly primaryChanges: readonly PrimaryChange[];
	readonly configurations: readonly ConfigurationSpread[];
	readonly storeReturns: readonly StoreReturn[];
	/** Hosts that were told to stop, and those of them that said that they ended. */
	readonly stopsBegun: number;
	readonly stopsEnded: number;
	/** Lines that hosts dropped, as they tell. */
	readonly droppedLines: number;
	/** What was left out since there was too much of it, by list. */
	readonly leftOut: Counts;
};

/** Gathers a report line by line; its memory does not grow with the logs. */
export type FleetReporter = {
	/** Takes one line in. */
	note(line: string): void;
	getReport(): FleetReport;
};

/** Most entries of a list, and most causes that are counted apart: what comes beyond is counted as left out. */
const MOST_ENTRIES = 1000;

/** Sentences that ask for no more than to be counted, with the field that names the cause. */
const OUTCOMES_UNKNOWN: Readonly<Record<string, string>> = {
	'the outcome of a commit is unknown: its primary may have been replaced': 'commit, its primary may have been replaced',
	'the outcome of a write is unknown: it was sent and no whole answer came': 'write, no whole answer came',
	'no whole answer to a commit came': 'commit, no whole answer came',
};

/** The hosts that told of one thing, and when the first and the last of them did. */
type Spread = {readonly hosts: Set<string>; firstAt: number; lastAt: number};

/** Creates a reporter that has read nothing. */
export function createFleetReporter(): FleetReporter {
	const hosts = new Set<string>();
	const counts = {
		code: new Map<string, number>(),
		text: new Map<string, number>(),
		database: new Map<string, number>(),
		workspace: new Map<string, number>(),
		retry: new Map<string, number>(),
		unknown: new Map<string, number>(),
		leftOut: new Map<string, number>(),
	};
	const reasons = new Map<string, string>();
	const primaryChanges: PrimaryChange[] = [];
	const configurations = new Map<number, Spread>();
	const storeReturns = new Map<number, Spread>();
	const recordsWritten = new Map<number, number>();
	const totals = {
		lines: 0, unreadLines: 0, lateAnswers: 0, stopsBegun: 0, stopsEnded: 0, droppedLines: 0,
	};
	let from = Number.POSITIVE_INFINITY;
	let to = Number.NEGATIVE_INFINITY;

	const count = (list: Map<string, number>, cause: string) => {
		if (list.size < MOST_ENTRIES || list.has(cause)) {
			list.set(cause, (list.get(cause) ?? 0) + 1);
		} else {
			count(counts.leftOut, 'causes');
		}
	};

	const noteRefusal = ({fields}: LogEvent) => {
		count(counts.code, String(fields.code));
		count(counts.text, withoutFigures(String(fields.text)));
		count(counts.database, String(fields.database));
		if (typeof fields.workspace === 'string') {
			count(counts.workspace, `${fields.workspace}: ${String(fields.code)}`);
		}
	};

	const noteChange = ({at, host, fields}: LogEvent) => {
		const {group, primary} = fields;
		const partsMs = Object.fromEntries(Object.entries(fields).filter((entry): entry is [string, number] => entry[0].endsWith('Ms') && typeof entry[1] === 'number'));
		if (primaryChanges.length >= MOST_ENTRIES) {
			count(counts.leftOut, 'changes of primary');
			return;
		}

		primaryChanges.push({
			at, host, group: String(group), primary: String(primary), reason: reasons.get(`${host} ${String(group)}`), partsMs,
		});
	};

	const noteSpread = (spreads: Map<number, Spread>, what: string, key: number, {at, host}: LogEvent) => {
		const known = spreads.get(key) ?? {hosts: new Set(), firstAt: at, lastAt: at};
		if (spreads.size >= MOST_ENTRIES && !spreads.has(key)) {
			count(counts.leftOut, what);
			return;
		}

		known.hosts.add(host);
		known.firstAt = Math.min(known.firstAt, at);
		known.lastAt = Math.max(known.lastAt, at);
		spreads.set(key, known);
	};

	const noteBySentence: Readonly<Record<string, (event: LogEvent) => void>> = {
		'a statement was refused': noteRefusal,
		'a read is tried again'({fields}) {
			count(counts.retry, `read: ${String(fields.reason)}`);
		},
		'a write did not run and is tried again'({fields}) {
			count(counts.retry, `write: ${String(fields.reason)}`);
		},
		'a transaction is begun again'({fields}) {
			count(counts.retry, `transaction: ${String(fields.reason)}`);
		},
		'a statement was answered late'() {
			totals.lateAnswers++;
		},
		'a primary is replaced'({host, fields}) {
			reasons.set(`${host} ${String(fields.group)}`, String(fields.reason));
		},
		'a group has a primary again': noteChange,
		'a configuration is in force'(event) {
			noteSpread(configurations, 'configurations', Number(event.fields.version), event);
		},
		'the store has come back from a copy'(event) {
			noteSpread(storeReturns, 'returns of the store', Number(event.fields.generation), event);
		},
		'a record of leadership was written again, since the store came back from a copy'({fields}) {
			const generation = Number(fields.generation);
			if (recordsWritten.size < MOST_ENTRIES || recordsWritten.has(generation)) {
				recordsWritten.set(generation, (recordsWritten.get(generation) ?? 0) + 1);
			}
		},
		'lines were dropped'({fields}) {
			totals.droppedLines += Number(fields.dropped) || 0;
		},
		leaving() {
			totals.stopsBegun++;
		},
		left() {
			totals.stopsEnded++;
		},
	};

	return {
		note(line) {
			if (line.trim() === '') {
				return;
			}

			totals.lines++;
			const event = parseLogEvent(line);
			if (!event) {
				totals.unreadLines++;
				return;
			}

			hosts.add(event.host);
			from = Math.min(from, event.at);
			to = Math.max(to, event.at);
			const unknown = Object.hasOwn(OUTCOMES_UNKNOWN, event.sentence) ? OUTCOMES_UNKNOWN[event.sentence] : undefined;
			if (unknown !== undefined) {
				count(counts.unknown, unknown);
			}

			if (Object.hasOwn(noteBySentence, event.sentence)) {
				noteBySentence[event.sentence]!(event);
			}
		},
		getReport: () => ({
			...totals,
			hosts: hosts.size,
			from: Number.isFinite(from) ? from : undefined,
			to: Number.isFinite(to) ? to : undefined,
			refusalsByCode: toCounts(counts.code),
			refusalsByText: toCounts(counts.text),
			refusalsByDatabase: toCounts(counts.database),
			refusalsByWorkspace: toCounts(counts.workspace),
			retries: toCounts(counts.retry),
			unknownOutcomes: toCounts(counts.unknown),
			primaryChanges: primaryChanges.toSorted((left, right) => left.at - right.at),
			configurations: [...configurations].map(([version, spread]) => ({
				version, hosts: spread.hosts.size, firstAt: spread.firstAt, lastAt: spread.lastAt,
			})),
			storeReturns: [...storeReturns].map(([generation, {hosts: tellers, firstAt, lastAt}]) => ({
				generation, hosts: tellers.size, firstAt, lastAt, recordsWritten: recordsWritten.get(generation) ?? 0,
			})),
			leftOut: toCounts(counts.leftOut),
		}),
	};
}

/** What callers are told holds times, of which each would be a cause of its own. */
function withoutFigures(text: string): string {
	return text.replaceAll(/\d+/gv, 'N');
}

/** The most frequent first. */
function toCounts(counts: ReadonlyMap<string, number>): Counts {
	return Object.fromEntries([...counts].toSorted((left, right) => right[1] - left[1]));
}
