import {Outcome} from '../callers/caller-response.js';
import {WorkClass} from '../groups/group-config.js';
import {FILINGS, type Scenario, type Demo} from './demo.js';
import {findPrimaryServer, injectFault} from './faults.js';
import type {SentWrite} from './verify-writes.js';
import {Guarantee} from './guarantees.js';
import {verifyWorkStream, startWorkStream, type WorkStreamOptions} from './work-stream.js';

const STREAM: WorkStreamOptions = {
	group: FILINGS, table: 'filings', batch: 'failover', callers: 10, class: WorkClass.Deadline, deadlineMs: 8000,
};

const WRITES_BEFORE = 60;
const WRITES_AFTER = 100;

/** Maximum time without writes, in milliseconds. Generous, so that the demo does not fail on a busy machine; the time of each run is printed. */
const MAX_GAP_MS = 9000;

/** Kills the primary of the filings while attorneys file. */
export const losePrimary: Scenario = {
	title: 'The primary of the filings dies while attorneys file',
	why: 'A stalled filing can cost a client its priority, and a filing must never post twice. Nobody but aldercroft orders a promotion.',
	async run(demo) {
		const {clock, guarantees, output} = demo;
		const stream = startWorkStream(demo, STREAM);
		await stream.waitForAcknowledged(WRITES_BEFORE);
		const lost = await findPrimaryServer(demo, FILINGS);
		const killedAt = clock.now();
		await injectFault(demo, FILINGS, lost.server, {fault: 'kill'});
		await stream.waitForAcknowledged(WRITES_AFTER);
		await stream.stop();

		const next = await findPrimaryServer(demo, FILINGS);
		const gapMs = getGapMs(stream.writes, killedAt);
		output.printLine(`${lost.name} was killed; ${next.name} was promoted; the first filing sent afterwards landed after ${Math.round(gapMs)} ms`);
		output.printLine(describeEffect(stream.writes, killedAt));
		guarantees.check(
			Guarantee.FailoverEnds,
			gapMs <= MAX_GAP_MS ? [] : [`writes did not land for ${Math.round(gapMs)} ms`],
			`a gap of ${Math.round(gapMs)} ms (bound for the demo: ${MAX_GAP_MS} ms)`,
		);
		await verifyWorkStream(demo, STREAM, stream);
		await restartServer(demo, lost.server);
	},
};

/** Returns the time from the loss to the first acknowledgement of a filing that was sent after it, in milliseconds. */
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

async function restartServer(demo: Demo, server: number): Promise<void> {
	await injectFault(demo, FILINGS, server, {fault: 'restart'});
	demo.output.printLine('the old primary is back, as a replica: its term has passed');
}
