import {Outcome} from '../callers/caller-response.js';
import {EndpointRole} from '../endpoints/endpoint.js';
import {WorkClass} from '../groups/group-config.js';
import {SLEEP_LOGS, type Chapter, type Demo} from './demo.js';
import {findPrimaryServer} from './faults.js';
import {Promised} from './promises.js';
import {
	judgeWorkStream, startWorkStream, type WorkStream, type WorkStreamOptions,
} from './work-stream.js';

const STREAM: WorkStreamOptions = {
	group: SLEEP_LOGS, table: 'nights', batch: 'drain', callers: 8, class: WorkClass.Deadline, deadlineMs: 8000,
};

const BEFORE = 40;
const AFTER = 80;
const POLL_MS = 100;

/** Generous on purpose, as for every promise about seconds: a busy machine must not turn the demo red. */
const DRAIN_BOUND_MS = 10_000;

/** The primary of the sleep logs is drained while bands sync, and nobody notices. */
export const drainEndpoint: Chapter = {
	title: 'The primary of the sleep logs is drained for maintenance',
	why: 'A planned stop is graceful: the primary\'s role is handed on first, and no caller is refused or cut.',
	async tell(demo) {
		const {clock, dana, balancer, promises, story} = demo;
		const stream = startWorkStream(demo, STREAM);
		await stream.waitForAcknowledged(BEFORE);
		const leaving = await findPrimaryServer(demo, SLEEP_LOGS);
		const command = `drain endpoint ${leaving.name}`;
		const orderedAt = clock.now();
		story.showCommand(command, await dana.runOrThrow(command, balancer.next()), 1);
		const drainedMs = await waitUntilDrained(demo, leaving.name, orderedAt);
		const boundary = stream.reads.length;
		await stream.waitForAcknowledged(AFTER);
		await stream.stop();

		const next = await findPrimaryServer(demo, SLEEP_LOGS);
		const late = stream.reads.slice(boundary + STREAM.callers).filter(({answer}) => answer.answer.servedBy === leaving.name);
		story.tell(`${next.name} took over from ${leaving.name}, which had no work left ${Math.round(drainedMs)} ms after the order`);
		const show = `show endpoints of group ${SLEEP_LOGS}`;
		story.showCommand(show, await dana.runOrThrow(show, balancer.next()));
		promises.check(
			Promised.Drain,
			[
				...drainedMs <= DRAIN_BOUND_MS ? [] : [`${leaving.name} still led or worked after ${Math.round(drainedMs)} ms`],
				...late.map(({mark}) => `the read of ${mark} was served by ${leaving.name} after it had drained`),
			],
			`${Math.round(drainedMs)} ms (bound for the demo: ${DRAIN_BOUND_MS} ms)`,
		);
		promises.check(Promised.GracefulStop, findDisturbed(stream), `${stream.writes.length} syncs and ${stream.reads.length} reads, none refused or cut`);
		await judgeWorkStream(demo, STREAM, stream);
		await dana.runOrThrow(`resume endpoint ${leaving.name}`, balancer.next());
	},
};

/** Requests of a stream that were refused or cut. */
export function findDisturbed({writes, reads, cuts}: Pick<WorkStream, 'writes' | 'reads' | 'cuts'>): string[] {
	return [
		...writes.filter(({outcome}) => outcome !== Outcome.Done).map(({mark, outcome, code}) => `the write of ${mark} ended ${outcome} (${code})`),
		...reads
			.filter(({answer: {answer}}) => answer.outcome !== Outcome.Done)
			.map(({mark, answer: {answer}}) => `the read of ${mark} ended ${answer.outcome} (${answer.refusal?.code})`),
		...cuts > 0 ? [`${cuts} connections were cut under a request`] : [],
	];
}

type ShownEndpoint = {
	readonly name: string;
	readonly role?: string;
	readonly running: number;
};

/** Resolves with the time from the order until the owners show the endpoint as a replica with nothing running. */
async function waitUntilDrained(demo: Demo, endpoint: string, orderedAt: number): Promise<number> {
	const {clock, dana, balancer} = demo;
	for (;;) {
		const text = await dana.runOrThrow(`show endpoints of group ${SLEEP_LOGS} --json`, balancer.next());
		const {data} = JSON.parse(text) as {data: readonly ShownEndpoint[]};
		const row = data.find(({name}) => name === endpoint);
		const tookMs = clock.now() - orderedAt;
		if ((row?.role === EndpointRole.Replica && row.running === 0) || tookMs > DRAIN_BOUND_MS) {
			return tookMs;
		}

		await clock.sleep(POLL_MS);
	}
}
