import {Outcome} from '../callers/caller-response.js';
import {WorkClass} from '../groups/group-config.js';
import {FILINGS, type Chapter, type Demo} from './demo.js';
import {findPrimaryServer, orderFault} from './faults.js';
import type {SentWrite} from './judge-writes.js';
import {Promised} from './promises.js';
import {judgeWorkStream, startWorkStream, type WorkStreamOptions} from './work-stream.js';

const STREAM: WorkStreamOptions = {
	group: FILINGS, table: 'filings', batch: 'failover', callers: 10, class: WorkClass.Deadline, deadlineMs: 8000,
};

const BEFORE = 60;
const AFTER = 100;

/** Generous on purpose: a busy machine must not turn the demo red. What this run took is printed. */
const GAP_BOUND_MS = 9000;

/** The server that takes the filings is killed while attorneys file. */
export const losePrimary: Chapter = {
	title: 'The primary of the filings dies while attorneys file',
	why: 'A stalled filing can cost a client its priority, and a filing must never post twice. Nobody but aldercroft orders a promotion.',
	async tell(demo) {
		const {clock, promises, story} = demo;
		const stream = startWorkStream(demo, STREAM);
		await stream.waitForAcknowledged(BEFORE);
		const lost = await findPrimaryServer(demo, FILINGS);
		const killedAt = clock.now();
		await orderFault(demo, FILINGS, lost.server, {fault: 'kill'});
		await stream.waitForAcknowledged(AFTER);
		await stream.stop();

		const next = await findPrimaryServer(demo, FILINGS);
		const gapMs = getGapMs(stream.writes, killedAt);
		story.tell(`${lost.name} was killed; ${next.name} was promoted; the first filing sent afterwards landed after ${Math.round(gapMs)} ms`);
		story.tell(describeEffect(stream.writes, killedAt));
		promises.check(
			Promised.FailoverEnds,
			gapMs <= GAP_BOUND_MS ? [] : [`writes did not land for ${Math.round(gapMs)} ms`],
			`a gap of ${Math.round(gapMs)} ms (bound for the demo: ${GAP_BOUND_MS} ms)`,
		);
		await judgeWorkStream(demo, STREAM, stream);
		await bringBack(demo, lost.server);
	},
};

/** Time from the loss to the first acknowledgement of a filing that was sent after it. */
function getGapMs(writes: readonly SentWrite[], killedAt: number): number {
	const landed = writes
		.filter(({outcome, sentAt}) => outcome === Outcome.Done && sentAt >= killedAt)
		.map(({answeredAt}) => answeredAt);
	return Math.min(...landed) - killedAt;
}

function describeEffect(writes: readonly SentWrite[], killedAt: number): string {
	const under = writes.filter(({sentAt, answeredAt}) => sentAt < killedAt && answeredAt >= killedAt);
	const refused = writes.filter(({outcome}) => outcome === Outcome.NotRun);
	const codes = [...new Set(refused.map(({code}) => code))].join(', ');
	const longestMs = Math.round(Math.max(...writes.map(({sentAt, answeredAt}) => answeredAt - sentAt)));
	return `${under.length} filings were under way at that moment; the longest took ${longestMs} ms; ${refused.length} were refused${codes ? ` (${codes})` : ''}`;
}

async function bringBack(demo: Demo, server: number): Promise<void> {
	await orderFault(demo, FILINGS, server, {fault: 'restart'});
	demo.story.tell('the old primary is back, as a replica: its term has passed');
}
