import {callerRequestSchema} from '../../src/callers/caller-request.js';
import type {CallerResponse} from '../../src/callers/caller-response.js';
import {
	GROUP, createRead, describeAnswer, createWrite, type Body, type Proof,
} from './proof-bench.js';

/** Callers that send one request after the other through every proxy until they are stopped. */
export type Traffic = {
	/** Sends the callers of a proxy to another one from now on, as the balancer does. */
	avoidProxy(name: string): void;
	/** Ends the callers after their last answers. Returns the failed requests with their counts, and the kinds with too few answers. */
	stop(): Promise<readonly string[]>;
};

/** Options of {@link startTraffic}. */
export type TrafficOptions = {
	readonly transactions?: boolean;
	/** Whether all callers use the proxy that does not own the group. */
	readonly atOutsider?: boolean;
	/** Members of each read besides its statement. */
	readonly read?: Body;
	/** Pause of a caller after each answer, in milliseconds. */
	readonly pauseMs?: number;
};

/** Pause between two statements of a transaction, in milliseconds. */
const STATEMENT_PAUSE_MS = 15;

/** Minimum number of answers of each kind. Fewer would not be conclusive. */
const MIN_ANSWERS = 20;

/** Starts one caller of each kind at every proxy. */
export function startTraffic(proof: Proof, {transactions = false, atOutsider = false, read = {}, pauseMs = 25}: TrafficOptions = {}): Traffic {
	const {clock, system} = proof;
	const done = new Map<string, number>();
	const failed = new Map<string, number>();
	const closed = new Set<string>();
	let running = true;
	let scores = 0;

	const isRunning = () => running;

	const count = (what: string, answer: CallerResponse) => {
		const isDone = answer.outcome === 'done';
		const counts = isDone ? done : failed;
		const name = isDone ? what : `${what} ${describeAnswer(answer)}`;
		counts.set(name, (counts.get(name) ?? 0) + 1);
		return isDone;
	};

	const choose = (home: string) => closed.has(home) ? system.proxies.find(({name}) => !closed.has(name))!.name : home;

	const repeat = async (home: string, ask: (proxy: string) => Promise<void>) => {
		while (isRunning()) {
			await ask(choose(home));
			await clock.sleep(pauseMs);
		}
	};

	const startReader = async (home: string, token: string | undefined) => repeat(home, async proxy => {
		count('read', await proof.send(proxy, createRead(read), token));
	});

	const startWriter = async (home: string) => repeat(home, async proxy => {
		scores++;
		count('write', await proof.send(proxy, createWrite(scores, {values: [home, scores]}), 'new'));
	});

	const startTransactions = async (home: string) => repeat(home, async proxy => {
		const begun = await proof.getEntry(proxy).begin(GROUP, {class: 'interactive', deadlineMs: 10_000}, 'new');
		if (!count('begin', begun)) {
			return;
		}

		const id = begun.requestId;
		for (const statement of [1, 2]) {
			await clock.sleep(STATEMENT_PAUSE_MS);
			const req = callerRequestSchema.parse(createWrite(statement, {values: [`${home}-filings`, statement]}));
			if (!count('statement', await proof.getEntry(choose(home)).run(id, req, 'new'))) {
				return;
			}
		}

		await clock.sleep(STATEMENT_PAUSE_MS);
		count('commit', await proof.getEntry(choose(home)).commit(id, 'new'));
	});

	const homes = system.proxies.filter(({name}) => !atOutsider || name === proof.outsider);
	const callers = homes.flatMap(({name}) => [
		startReader(name, 'new'),
		startReader(name, undefined),
		startWriter(name),
		...transactions ? [startTransactions(name)] : [],
	]);

	const describeTooFew = () => ['read', 'write', ...transactions ? ['commit'] : []]
		.filter(what => (done.get(what) ?? 0) < MIN_ANSWERS)
		.map(what => `too few: ${done.get(what) ?? 0} of ${what}`);

	return {
		avoidProxy(name) {
			closed.add(name);
		},
		async stop() {
			running = false;
			await clock.runUntil(Promise.all(callers));
			return [...describeTooFew(), ...[...failed].map(([what, times]) => `${what}, ${times} times`)];
		},
	};
}
