import {Outcome} from '../callers/caller-response.js';
import {RequestKind} from '../callers/caller-request.js';
import type {WorkClass} from '../groups/group-config.js';
import {createCaller, type DemoCaller, type SentAnswer} from './caller.js';
import type {Demo} from './demo.js';
import {findLostOrDuplicated, findUntrueRefusals, type SentWrite} from './verify-writes.js';
import {Guarantee} from './guarantees.js';

/** A session's read of its own last write. */
export type OwnRead = {
	readonly mark: string;
	readonly answer: SentAnswer;
};

/** Callers that repeatedly write and read what they wrote, until they are stopped. */
export type WorkStream = {
	/** Writes that have received their last answer; the outcome of some may still be unknown. */
	readonly writes: readonly SentWrite[];
	readonly reads: readonly OwnRead[];
	/** Number of connections that broke during a request. */
	readonly brokenConnections: number;
	/** Resolves once `count` more writes are acknowledged; rejects where that takes longer than 20 s. */
	waitForAcknowledged(count: number): Promise<void>;
	/** Stops the stream. Resolves once each caller has its last answer. */
	stop(): Promise<void>;
};

/** Options of a stream. */
export type WorkStreamOptions = {
	readonly group: string;
	readonly table: string;
	/** Value that marks the rows of this stream; no other stream uses it. */
	readonly batch: string;
	readonly callers: number;
	readonly class: WorkClass;
	readonly deadlineMs: number;
};

/** Pause of a caller between two rounds, in milliseconds, so that a stream does not saturate the servers. */
const PAUSE_MS = 20;

const POLL_MS = 20;

/** Time after which waiting for acknowledged writes fails the demo, in milliseconds. */
const WAIT_TIMEOUT_MS = 20_000;

/** Starts a stream of work. */
export function startWorkStream(demo: Demo, options: WorkStreamOptions): WorkStream {
	const {clock} = demo;
	const writes: SentWrite[] = [];
	const reads: OwnRead[] = [];
	let brokenConnections = 0;
	let stopped = false;

	const write = async (caller: DemoCaller, mark: string) => {
		const sentAt = clock.now();
		const sent = await caller.send({
			kind: RequestKind.Write,
			statement: `INSERT INTO ${options.table} (batch, mark) VALUES ($1, $2)`,
			values: [options.batch, mark],
			class: options.class,
			deadlineMs: options.deadlineMs,
		});
		brokenConnections += sent.brokenConnections;
		const {outcome, refusal} = sent.answer;
		writes.push({
			mark, outcome, code: refusal?.code, sentAt, answeredAt: clock.now(),
		});
		return outcome;
	};

	const readOwn = async (caller: DemoCaller, mark: string) => {
		const answer = await caller.send({
			kind: RequestKind.Read,
			statement: `SELECT mark FROM ${options.table} WHERE mark = $1`,
			values: [mark],
			deadlineMs: options.deadlineMs,
		});
		brokenConnections += answer.brokenConnections;
		reads.push({mark, answer});
	};

	const work = async (index: number) => {
		const caller = createCaller({...demo, group: options.group});
		for (let round = 1; !stopped; round++) {
			const mark = `${options.batch}-${index}-${round}`;
			if (await write(caller, mark) === Outcome.Done) {
				await readOwn(caller, mark);
			}

			await clock.sleep(PAUSE_MS);
		}
	};

	const countAcknowledged = () => writes.filter(({outcome}) => outcome === Outcome.Done).length;
	const working = Promise.all(Array.from({length: options.callers}, async (_, index) => work(index + 1)));

	return {
		writes,
		reads,
		get brokenConnections() {
			return brokenConnections;
		},
		async waitForAcknowledged(count) {
			const target = countAcknowledged() + count;
			const until = clock.now() + WAIT_TIMEOUT_MS;
			while (countAcknowledged() < target) {
				if (clock.now() > until) {
					throw new Error(`${options.batch}: ${countAcknowledged()} writes were acknowledged, and ${target} were awaited`);
				}

				await clock.sleep(POLL_MS);
			}
		},
		async stop() {
			stopped = true;
			await working;
		},
	};
}

/** Compares the answers to a stream's callers with the rows that the group stores, and checks the guarantees that concern them. */
export async function verifyWorkStream(demo: Demo, options: WorkStreamOptions, stream: WorkStream): Promise<void> {
	const {guarantees} = demo;
	const {writes, reads} = stream;
	const stored = await readMarks(demo, options);
	const count = (outcome: Outcome) => writes.filter(write => write.outcome === outcome).length;
	guarantees.check(
		Guarantee.OnceOnly,
		findLostOrDuplicated(writes, stored),
		`${count(Outcome.Done)} acknowledged, ${count(Outcome.NotRun)} refused, ${count(Outcome.Unknown)} unsure; ${stored.length} rows found`,
	);
	if (count(Outcome.NotRun) > 0) {
		guarantees.check(Guarantee.TruthfulRefusal, findUntrueRefusals(writes, stored), `${count(Outcome.NotRun)} refusals compared with the rows`);
	}

	guarantees.check(Guarantee.ReadYourWrites, findUnseenWrites(reads), `${reads.length} reads of a caller's own last write`);
}

/** Resolves with the marks of all rows of a stream, from a read of the latest state. Rejects where they could not be read. */
async function readMarks(demo: Demo, {group, table, batch}: WorkStreamOptions): Promise<string[]> {
	const {answer} = await createCaller({...demo, group}).send({
		kind: RequestKind.Read, statement: `SELECT mark FROM ${table} WHERE batch = $1`, values: [batch], latest: true,
	});
	if (answer.outcome !== Outcome.Done) {
		throw new Error(`${batch}: the rows could not be read: ${answer.refusal?.code}`);
	}

	return answer.rows!.map(row => row.mark as string);
}

/** Returns a sentence for each read that missed its session's own write. Refused reads return no rows and count as refusals instead. */
function findUnseenWrites(reads: readonly OwnRead[]): string[] {
	return reads
		.filter(({answer: {answer}}) => answer.outcome === Outcome.Done && answer.rows!.length === 0)
		.map(({mark, answer}) => `${mark} was acknowledged, and its session did not see it at ${answer.host}`);
}
