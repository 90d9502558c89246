import {parseLogEvent, type LogEvent} from './log-event.js';
import {createWaitReporter, type WaitReport} from './wait-report.js';

/** Number of occurrences by cause. */
export type Counts = Readonly<Record<string, number>>;

/** A change of a group's primary. */
export type PrimaryChange = {
	readonly at: number;
	readonly host: string;
	readonly group: string;
	readonly primary: string;
	/** Why the former primary was replaced. Undefined if the line that started the change is not in the logs. */
	readonly reason?: string;
	/** Duration of each step in milliseconds, as logged by the host that replaced the primary. */
	readonly partsMs: Counts;
};

/** How a version of the configuration reached the hosts. */
export type ConfigurationSpread = {
	readonly version: number;
	/** Number of hosts that logged it. */
	readonly hosts: number;
	readonly firstAt: number;
	/** Time at which the last of these hosts logged it. */
	readonly lastAt: number;
};

/** A restore of the platform's store from a backup. */
export type StoreRestore = {
	readonly generation: number;
	/** Number of hosts that logged it. */
	readonly hosts: number;
	readonly firstAt: number;
	/** Time at which the last of these hosts logged it. */
	readonly lastAt: number;
	/** Number of leadership records that hosts rewrote. */
	readonly recordsWritten: number;
};

/** Summary of the logs of a fleet. */
export type FleetReport = {
	readonly lines: number;
	/** Lines that were truncated, cannot be parsed, or were not written by a proxy. */
	readonly unreadLines: number;
	readonly hosts: number;
	/** Times of the first and the last line. Undefined if there are no lines. */
	readonly from?: number;
	readonly to?: number;
	/** Refusals by answer code, and by the text sent to callers. */
	readonly refusalsByCode: Counts;
	readonly refusalsByText: Counts;
	readonly refusalsByDatabase: Counts;
	/** Refusals by workspace and answer code, of callers that presented a workspace's API key. */
	readonly refusalsByWorkspace: Counts;
	/** Retries by reason. */
	readonly retries: Counts;
	readonly lateAnswers: number;
	/** Who waited for connections, out of the statements that were refused or answered late, and because of which endpoints. */
	readonly waits: WaitReport;
	/** Commits and writes with an unknown outcome, by kind. */
	readonly unknownOutcomes: Counts;
	readonly primaryChanges: readonly PrimaryChange[];
	readonly configurations: readonly ConfigurationSpread[];
	readonly storeReturns: readonly StoreRestore[];
	/** Number of hosts that began to stop, and of those that logged the end of it. */
	readonly stopsBegun: number;
	readonly stopsEnded: number;
	/** Number of lines that hosts dropped, by their own logs. */
	readonly droppedLines: number;
	/** Number of entries omitted because a list was full, by list. */
	readonly leftOut: Counts;
};

/** Builds a report line by line. Its memory does not grow with the size of the logs. */
export type FleetReporter = {
	/** Adds one log line. */
	addLine(line: string): void;
	getReport(): FleetReport;
};

/** Maximum number of entries in a list and of causes that are counted separately. Further ones are counted as omitted. */
const MAX_ENTRIES = 1000;

/** Log sentences about unknown outcomes, with the cause under which each is counted. */
const UNKNOWN_OUTCOME_CAUSES: Readonly<Record<string, string>> = {
	'the outcome of a commit is unknown: its primary may have been replaced': 'commit, its primary may have been replaced',
	'the outcome of a write is unknown: it was sent and no whole answer came': 'write, no whole answer came',
	'no whole answer to a commit came': 'commit, no whole answer came',
};

/** The hosts that logged an event, and the times of the first and the last of these lines. */
type Spread = {readonly hosts: Set<string>; firstAt: number; lastAt: number};

/** Creates a reporter without lines. */
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
	const waits = createWaitReporter();
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
		if (list.size < MAX_ENTRIES || list.has(cause)) {
			list.set(cause, (list.get(cause) ?? 0) + 1);
		} else {
			count(counts.leftOut, 'causes');
		}
	};

	const addRefusal = ({fields}: LogEvent) => {
		count(counts.code, String(fields.code));
		count(counts.text, maskNumbers(String(fields.text)));
		count(counts.database, String(fields.database));
		if (typeof fields.workspace === 'string') {
			count(counts.workspace, `${fields.workspace}: ${String(fields.code)}`);
		}
	};

	const addPrimaryChange = ({at, host, fields}: LogEvent) => {
		const {group, primary} = fields;
		const partsMs = Object.fromEntries(Object.entries(fields).filter((entry): entry is [string, number] => entry[0].endsWith('Ms') && typeof entry[1] === 'number'));
		if (primaryChanges.length >= MAX_ENTRIES) {
			count(counts.leftOut, 'changes of primary');
			return;
		}

		primaryChanges.push({
			at, host, group: String(group), primary: String(primary), reason: reasons.get(`${host} ${String(group)}`), partsMs,
		});
	};

	const addToSpread = (spreads: Map<number, Spread>, listName: string, key: number, {at, host}: LogEvent) => {
		const known = spreads.get(key) ?? {hosts: new Set(), firstAt: at, lastAt: at};
		if (spreads.size >= MAX_ENTRIES && !spreads.has(key)) {
			count(counts.leftOut, listName);
			return;
		}

		known.hosts.add(host);
		known.firstAt = Math.min(known.firstAt, at);
		known.lastAt = Math.max(known.lastAt, at);
		spreads.set(key, known);
	};

	const handlersBySentence: Readonly<Record<string, (event: LogEvent) => void>> = {
		'a statement was refused': addRefusal,
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
		'a group has a primary again': addPrimaryChange,
		'a configuration is in force'(event) {
			addToSpread(configurations, 'configurations', Number(event.fields.version), event);
		},
		'the store has come back from a copy'(event) {
			addToSpread(storeReturns, 'returns of the store', Number(event.fields.generation), event);
		},
		'a record of leadership was written again, since the store came back from a copy'({fields}) {
			const generation = Number(fields.generation);
			if (recordsWritten.size < MAX_ENTRIES || recordsWritten.has(generation)) {
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
		addLine(line) {
			if (line.trim() === '') {
				return;
			}

			totals.lines++;
			const event = parseLogEvent(line);
			if (!event) {
				totals.unreadLines++;
				return;
			}

			waits.add(event);
			hosts.add(event.host);
			from = Math.min(from, event.at);
			to = Math.max(to, event.at);
			const unknown = Object.hasOwn(UNKNOWN_OUTCOME_CAUSES, event.sentence) ? UNKNOWN_OUTCOME_CAUSES[event.sentence] : undefined;
			if (unknown !== undefined) {
				count(counts.unknown, unknown);
			}

			if (Object.hasOwn(handlersBySentence, event.sentence)) {
				handlersBySentence[event.sentence]!(event);
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
			waits: waits.getReport(),
			unknownOutcomes: toCounts(counts.unknown),
			primaryChanges: primaryChanges.toSorted((left, right) => left.at - right.at),
			configurations: [...configurations].map(([version, spread]) => ({
				version, hosts: spread.hosts.size, firstAt: spread.firstAt, lastAt: spread.lastAt,
			})),
			storeReturns: [...storeReturns].map(([generation, {hosts: reportingHosts, firstAt, lastAt}]) => ({
				generation, hosts: reportingHosts.size, firstAt, lastAt, recordsWritten: recordsWritten.get(generation) ?? 0,
			})),
			leftOut: toCounts(counts.leftOut),
		}),
	};
}

/** Replaces numbers by N. The texts sent to callers contain times, and each would otherwise be counted as a separate cause. */
function maskNumbers(text: string): string {
	return text.replaceAll(/\d+/gv, 'N');
}

/** Returns the counts in descending order. */
function toCounts(counts: ReadonlyMap<string, number>): Counts {
	return Object.fromEntries([...counts].toSorted((left, right) => right[1] - left[1]));
}
