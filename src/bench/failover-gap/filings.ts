import {type CallerResponse, Outcome} from '../../callers/caller-response.js';
import {callerRequestSchema} from '../../callers/caller-request.js';
import type {SimulatedSystem} from '../../stand-ins/system/simulated-system.js';

/** A filing with its times, in milliseconds, and its response. */
export type Filing = {
	readonly id: number;
	readonly entry: string;
	readonly sentAt: number;
	endedAt?: number;
	answer?: CallerResponse;
};

/** A steady stream of filings through all proxies. */
export type FilingStream = {
	readonly filings: readonly Filing[];
	/** Sends no more filings through an entry, as its callers use other entries from now on. */
	exclude(entry: string): void;
	/** Stops the stream and resolves once every filing has a response, except for those of excluded entries. */
	end(): Promise<void>;
};

export const GROUP = 'filings';

/** Interval between filings, in milliseconds. */
export const FILING_INTERVAL_MS = 10;

const DEADLINE_MS = 10_000;

/** Starts the stream: it sends a filing every {@link FILING_INTERVAL_MS}, through each entry in turn. */
export function startFilings(system: SimulatedSystem): FilingStream {
	const {clock} = system;
	const filings: Filing[] = [];
	const pending = new Map<Filing, Promise<void>>();
	const excluded = new Set<string>();
	const stopping = new AbortController();

	const send = async (filing: Filing) => {
		const body = callerRequestSchema.parse({
			kind: 'write', statement: 'INSERT INTO filings (id) VALUES ($1)', values: [filing.id], class: 'deadline', deadlineMs: DEADLINE_MS,
		});
		filing.answer = await system.getProxyOrThrow(filing.entry).kernel.getOrThrow('entry').execute(GROUP, body, undefined);
		filing.endedAt = clock.now();
		pending.delete(filing);
	};

	const sendContinuously = async () => {
		while (!stopping.signal.aborted) {
			const entries = system.proxies.filter(({name}) => !excluded.has(name));
			const filing: Filing = {id: filings.length, entry: entries[filings.length % entries.length]!.name, sentAt: clock.now()};
			filings.push(filing);
			pending.set(filing, send(filing));
			await clock.sleep(FILING_INTERVAL_MS, stopping.signal);
		}
	};

	const sending = sendContinuously();

	return {
		filings,
		exclude(entry) {
			excluded.add(entry);
		},
		async end() {
			stopping.abort();
			await sending;
			await Promise.all([...pending].filter(([{entry}]) => !excluded.has(entry)).map(async ([, completed]) => completed));
		},
	};
}

/** Throws unless each acknowledged filing is stored exactly once, each one reported as not run is not stored, and each other one is stored at most once. */
export function checkFilings(system: SimulatedSystem, filings: readonly Filing[]): void {
	const {servers} = system.getGroupOrThrow(GROUP);
	const newest = servers.toSorted((left, right) => right.member.getStatus().term - left.member.getStatus().term);
	const primary = newest.find(({member}) => member.isPrimaryAt(member.getStatus().term)) ?? throwCheckFailure('the group has no primary at the end');
	for (const {id, answer: response} of filings) {
		const {length: count} = primary.member.state.findRows('filings', [{column: 'id', value: id}]);
		const isCorrect = response?.outcome === Outcome.Done ? count === 1 : count <= (response?.outcome === Outcome.NotRun ? 0 : 1);
		if (!isCorrect) {
			throwCheckFailure(`filing ${id} has the outcome ${response?.outcome ?? 'none'} and is stored ${count} times`);
		}
	}
}

/** Returns the longest time from one acknowledgement to the next, in milliseconds, of those that end after `since`; `until` counts as an acknowledgement, which ends an open gap. */
export function getLongestGap(filings: readonly Filing[], since: number, until: number): {readonly ms: number; readonly endedAt: number} {
	const done = filings.filter(({answer: response}) => response?.outcome === Outcome.Done).map(({endedAt}) => endedAt!);
	const times = [...done, until].toSorted((left, right) => left - right);
	let longest = {ms: 0, endedAt: since};
	for (const [index, endedAt] of times.entries()) {
		const ms = endedAt - (times[index - 1] ?? endedAt);
		if (endedAt >= since && ms > longest.ms) {
			longest = {ms, endedAt};
		}
	}

	return longest;
}

/** Returns the longest response time of any filing, in milliseconds. */
export function getLongestFiling(filings: readonly Filing[]): number {
	return Math.max(0, ...filings.map(({sentAt, endedAt}) => endedAt === undefined ? 0 : endedAt - sentAt));
}

function throwCheckFailure(message: string): never {
	throw new Error(`failover-gap: ${message}`);
}
