import {type CallerResponse, Outcome} from '../../callers/caller-response.js';
import {callerRequestSchema} from '../../callers/caller-request.js';
import type {SimulatedSystem} from '../../stand-ins/system/simulated-system.js';

/** A filing and what became of it. */
export type Filing = {
	readonly id: number;
	readonly entry: string;
	readonly askedAt: number;
	endedAt?: number;
	answer?: CallerResponse;
};

/** A steady stream of filings through all entries. */
export type FilingStream = {
	readonly filings: readonly Filing[];
	/** Leaves out an entry from now on: its callers went elsewhere. */
	leaveOut(entry: string): void;
	/** Sends no more and resolves once every filing, but those of entries left out, was answered. */
	end(): Promise<void>;
};

export const GROUP = 'filings';

/** Time between two filings, in milliseconds. */
export const STEP_MS = 10;

const DEADLINE_MS = 10_000;

/** Starts the stream: a filing every {@link STEP_MS}, through one entry after the other. */
export function startFilings(system: SimulatedSystem): FilingStream {
	const {clock} = system;
	const filings: Filing[] = [];
	const answering = new Map<Filing, Promise<void>>();
	const leftOut = new Set<string>();
	const ending = new AbortController();

	const send = async (filing: Filing) => {
		const body = callerRequestSchema.parse({
			kind: 'write', statement: 'INSERT INTO filings (id) VALUES ($1)', values: [filing.id], class: 'deadline', deadlineMs: DEADLINE_MS,
		});
		filing.answer = await system.getProxyOrThrow(filing.entry).kernel.getOrThrow('entry').execute(GROUP, body, undefined);
		filing.endedAt = clock.now();
		answering.delete(filing);
	};

	const sendOn = async () => {
		while (!ending.signal.aborted) {
			const entries = system.proxies.filter(({name}) => !leftOut.has(name));
			const filing: Filing = {id: filings.length, entry: entries[filings.length % entries.length]!.name, askedAt: clock.now()};
			filings.push(filing);
			answering.set(filing, send(filing));
			await clock.sleep(STEP_MS, ending.signal);
		}
	};

	const sending = sendOn();

	return {
		filings,
		leaveOut(entry) {
			leftOut.add(entry);
		},
		async end() {
			ending.abort();
			await sending;
			await Promise.all([...answering].filter(([{entry}]) => !leftOut.has(entry)).map(async ([, answered]) => answered));
		},
	};
}

/** Fails the run where an acknowledged filing is not there exactly once, or one said not to have run is there. */
export function checkFilings(system: SimulatedSystem, filings: readonly Filing[]): void {
	const {servers} = system.getGroupOrThrow(GROUP);
	const newest = servers.toSorted((left, right) => right.member.getStatus().term - left.member.getStatus().term);
	const primary = newest.find(({member}) => member.isPrimaryAt(member.getStatus().term)) ?? throwWrong('no server is primary at the end');
	for (const {id, answer} of filings) {
		const {length: count} = primary.member.state.findRows('filings', [{column: 'id', value: id}]);
		const right = answer?.outcome === Outcome.Done ? count === 1 : count <= (answer?.outcome === Outcome.NotRun ? 0 : 1);
		if (!right) {
			throwWrong(`filing ${id} was answered ${answer?.outcome ?? 'nothing'} and is there ${count} times`);
		}
	}
}

/** Longest time from one acknowledgement to the next that ended after `since`, in milliseconds; one that none ended lasts to `until`. */
export function getLongestGap(filings: readonly Filing[], since: number, until: number): {readonly ms: number; readonly endedAt: number} {
	const done = filings.filter(({answer}) => answer?.outcome === Outcome.Done).map(({endedAt}) => endedAt!);
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

/** Longest time that any answered filing took, in milliseconds. */
export function getLongestFiling(filings: readonly Filing[]): number {
	return Math.max(0, ...filings.map(({askedAt, endedAt}) => endedAt === undefined ? 0 : endedAt - askedAt));
}

function throwWrong(what: string): never {
	throw new Error(`failover-gap: ${what}`);
}
