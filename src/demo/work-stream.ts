import {Outcome} from '../callers/caller-response.js';
import {RequestKind} from '../callers/caller-request.js';
import type {WorkClass} from '../groups/group-config.js';
import {createCaller, type DemoCaller, type SentAnswer} from './caller.js';
import type {Demo} from './demo.js';
import {findLostOrDoubled, findUntrueRefusals, type SentWrite} from './judge-writes.js';
import {Promised} from './promises.js';

/** A read of a session's own last write. */
export type OwnRead = {
	readonly mark: string;
	readonly answer: SentAnswer;
};

/** Callers that write, read what they wrote, and begin again until they are stopped. */
export type WorkStream = {
	/** Writes that have their last answer. */
	readonly writes: readonly SentWrite[];
	readonly reads: readonly OwnRead[];
	/** Connections that broke under a request. */
	readonly cuts: number;
	/** Resolves once that many writes were acknowledged since now. */
	waitForAcknowledged(count: number): Promise<void>;
	/** Ends the stream once each caller has its last answer. */
	stop(): Promise<void>;
};

/** What a stream does. */
export type WorkStreamOptions = {
	readonly group: string;
	readonly table: string;
	/** Stands in every row of this stream and of no other. */
	readonly batch: string;
	readonly callers: number;
	readonly class: WorkClass;
	readonly deadlineMs: number;
};

/** Pause of a caller between two rounds, in milliseconds; with it a stream leaves the servers time to spare. */
const PAUSE_MS = 20;

const POLL_MS = 20;

/** Time after which a wait for acknowledged writes counts as an error of the demo, in milliseconds. */
const WAIT_BOUND_MS = 20_000;

/** Starts a stream of work. */
export function startWorkStream(demo: Demo, options: WorkStreamOptions): WorkStream {
	const {clock} = demo;
	const writes: SentWrite[] = [];
	const reads: OwnRead[] = [];
	let cuts = 0;
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
		cuts += sent.cuts;
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
		cuts += answer.cuts;
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
		get cuts() {
			return cuts;
		},
		async waitForAcknowledged(count) {
			const wanted = countAcknowledged() + count;
			const until = clock.now() + WAIT_BOUND_MS;
			while (countAcknowledged() < wanted) {
				if (clock.now() > until) {
					throw new Error(`${options.batch}: ${countAcknowledged()} writes were acknowledged, and ${wanted} were awaited`);
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

/** Compares what a stream's callers were told with what the group holds, and judges the promises about it. */
export async function judgeWorkStream(demo: Demo, options: WorkStreamOptions, stream: WorkStream): Promise<void> {
	const {promises} = demo;
	const {writes, reads} = stream;
	const stored = await readMarks(demo, options);
	const count = (outcome: Outcome) => writes.filter(write => write.outcome === outcome).length;
	promises.check(
		Promised.OnceOnly,
		findLostOrDoubled(writes, stored),
		`${count(Outcome.Done)} acknowledged, ${count(Outcome.NotRun)} refused, ${count(Outcome.Unknown)} unsure; ${stored.length} rows found`,
	);
	if (count(Outcome.NotRun) > 0) {
		promises.check(Promised.TruthfulRefusal, findUntrueRefusals(writes, stored), `${count(Outcome.NotRun)} refusals compared with the rows`);
	}

	promises.check(Promised.ReadYourWrites, findUnseenWrites(reads), `${reads.length} reads of a caller's own last write`);
}

/** Every mark of the stream's rows, as a read of the latest state shows them. */
async function readMarks(demo: Demo, {group, table, batch}: WorkStreamOptions): Promise<string[]> {
	const {answer} = await createCaller({...demo, group}).send({
		kind: RequestKind.Read, statement: `SELECT mark FROM ${table} WHERE batch = $1`, values: [batch], latest: true,
	});
	if (answer.outcome !== Outcome.Done) {
		throw new Error(`${batch}: the rows could not be read: ${answer.refusal?.code}`);
	}

	return answer.rows!.map(row => row.mark as string);
}

/** A refused read shows nothing, so it cannot show too little; it is a refusal and stands with those. */
function findUnseenWrites(reads: readonly OwnRead[]): string[] {
	return reads
		.filter(({answer: {answer}}) => answer.outcome === Outcome.Done && answer.rows!.length === 0)
		.map(({mark, answer}) => `${mark} was acknowledged, and its session did not see it at ${answer.host}`);
}
