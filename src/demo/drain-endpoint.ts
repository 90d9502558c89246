import {Outcome} from '../callers/caller-response.js';
import {EndpointRole} from '../endpoints/endpoint.js';
import {WorkClass} from '../groups/group-config.js';
import {SLEEP_LOGS, type Scenario, type Demo} from './demo.js';
import {findPrimaryServer} from './faults.js';
import {Guarantee} from './guarantees.js';
import {
	verifyWorkStream, startWorkStream, type WorkStream, type WorkStreamOptions,
} from './work-stream.js';

const STREAM: WorkStreamOptions = {
	group: SLEEP_LOGS, table: 'nights', batch: 'drain', callers: 8, class: WorkClass.Deadline, deadlineMs: 8000,
};

const WRITES_BEFORE = 40;
const WRITES_AFTER = 80;
const POLL_MS = 100;

/** Maximum time of a drain, in milliseconds. Generous like all time limits of the demo, so that it does not fail on a busy machine. */
const MAX_DRAIN_MS = 10_000;

/** Drains the primary of the sleep logs while bands sync, without refusing or cutting a request. */
export const drainEndpoint: Scenario = {
	title: 'The primary of the sleep logs is drained for maintenance',
	why: 'A planned stop is graceful: the primary\'s role is handed on first, and no caller is refused or cut.',
	async run(demo) {
		const {clock, dana, balancer, guarantees, output} = demo;
		const stream = startWorkStream(demo, STREAM);
		await stream.waitForAcknowledged(WRITES_BEFORE);
		const leaving = await findPrimaryServer(demo, SLEEP_LOGS);
		const command = `drain endpoint ${leaving.name}`;
		const orderedAt = clock.now();
		output.showCommand(command, await dana.runOrThrow(command, balancer.next()), 1);
		const drainedMs = await waitUntilDrained(demo, leaving.name, orderedAt);
		const boundary = stream.reads.length;
		await stream.waitForAcknowledged(WRITES_AFTER);
		await stream.stop();

		const next = await findPrimaryServer(demo, SLEEP_LOGS);
		const late = stream.reads.slice(boundary + STREAM.callers).filter(({answer}) => answer.answer.servedBy === leaving.name);
		output.printLine(`${next.name} took over from ${leaving.name}, which had no work left ${Math.round(drainedMs)} ms after the order`);
		const show = `show endpoints of group ${SLEEP_LOGS}`;
		output.showCommand(show, await dana.runOrThrow(show, balancer.next()));
		guarantees.check(
			Guarantee.Drain,
			[
				...drainedMs <= MAX_DRAIN_MS ? [] : [`${leaving.name} still led or worked after ${Math.round(drainedMs)} ms`],
				...late.map(({mark}) => `the read of ${mark} was served by ${leaving.name} after it had drained`),
			],
			`${Math.round(drainedMs)} ms (bound for the demo: ${MAX_DRAIN_MS} ms)`,
		);
		guarantees.check(Guarantee.GracefulStop, findFailedRequests(stream), `${stream.writes.length} syncs and ${stream.reads.length} reads, none refused or cut`);
		await verifyWorkStream(demo, STREAM, stream);
		await dana.runOrThrow(`resume endpoint ${leaving.name}`, balancer.next());
	},
};

/** Returns a sentence for each request of a stream that did not complete, and one for the connections that broke during requests. */
export function findFailedRequests({writes, reads, brokenConnections}: Pick<WorkStream, 'writes' | 'reads' | 'brokenConnections'>): string[] {
	return [
		...writes.filter(({outcome}) => outcome !== Outcome.Done).map(({mark, outcome, code}) => `the write of ${mark} ended ${outcome} (${code})`),
		...reads
			.filter(({answer: {answer}}) => answer.outcome !== Outcome.Done)
			.map(({mark, answer: {answer}}) => `the read of ${mark} ended ${answer.outcome} (${answer.refusal?.code})`),
		...brokenConnections > 0 ? [`${brokenConnections} connections were cut under a request`] : [],
	];
}

type ShownEndpoint = {
	readonly name: string;
	readonly role?: string;
	readonly running: number;
};

/**
 * Resolves with the time from the order until the owners report the endpoint as a replica on which nothing runs, in milliseconds; with a longer time
 * than the maximum where they do not report it in time.
 */
async function waitUntilDrained(demo: Demo, endpoint: string, orderedAt: number): Promise<number> {
	const {clock, dana, balancer} = demo;
	for (;;) {
		const text = await dana.runOrThrow(`show endpoints of group ${SLEEP_LOGS} --json`, balancer.next());
		const {data} = JSON.parse(text) as {data: readonly ShownEndpoint[]};
		const row = data.find(({name}) => name === endpoint);
		const tookMs = clock.now() - orderedAt;
		if ((row?.role === EndpointRole.Replica && row.running === 0) || tookMs > MAX_DRAIN_MS) {
			return tookMs;
		}

		await clock.sleep(POLL_MS);
	}
}
