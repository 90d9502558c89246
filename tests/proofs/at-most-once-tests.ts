import {createRequestId} from '../../src/random/request-id.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {
	doProof, describeAnswer, createWrite, type Proof,
} from './proof-bench.js';

const RECOVERY_MS = 60_000;
const HOUR_MS = 3_600_000;

/** Drops a request key from all servers, as the group does after the retention period. */
function dropKey({servers}: Proof, requestId: string): void {
	for (const {member} of servers) {
		member.state.revert({key: {requestId, record: {kind: 'tombstone'}}, changes: []});
	}
}

describe('proof: a non-idempotent request runs at most once', () => {
	// A slow write is sent again twice, with the same id through a second and a third proxy, while the first try still runs.
	// All three tries must be answered with the one row.
	doProof('sent through three proxies while the first try runs', async proof => {
		await proof.ask(proof.outsider, createWrite(40), 'new');
		const body = createWrite(41, {requestId: proof.createId(), statement: 'INSERT INTO nights (member, score) VALUES ($1, $2) RETURNING score'});
		const tries = [];
		for (const proxy of [...proof.owners, proof.outsider]) {
			tries.push(proof.send(proxy, {...body, attempt: tries.length + 1}, 'new'));
			await proof.clock.advance(50);
		}

		const answers = await proof.clock.runUntil(Promise.all(tries));
		return [...answers.map(answer => describeAnswer(answer)), proof.getScores()];
	}, ['done: 41', 'done: 41', 'done: 41', 'stored: 40, 41'], {serverParameters: {serviceMs: 400}});

	describe('when something is lost after it was sent', () => {
		const doTest = (title: string, fail: (proof: Proof) => Promise<string>, expected: string) => {
			// A write is sent to the primary, and then its connection, its answer or the primary itself is lost. Whether it ran is
			// unknown, and the proxies retry on their own. The row must exist exactly once, also after everything has recovered.
			doProof(title, async proof => {
				await proof.ask(proof.owners[0]!, createWrite(40), 'new');
				await proof.clock.advance(100);
				const answering = proof.send(proof.owners[0]!, createWrite(41), 'new');
				const held = await fail(proof);
				const answer = await proof.clock.runUntil(answering);
				proof.servers[0]!.restart();
				await proof.clock.advance(RECOVERY_MS);
				return [held, describeAnswer(answer), proof.getScores()];
			}, [expected, 'done', 'stored: 40, 41'], {serverParameters: {replicationLagMs: 20}});
		};

		doTest('the connection, for good', async ({clock, servers}) => {
			await clock.advance(1.5);
			servers[0]!.silenceConnections();
			return getHolders(servers);
		}, 'nobody had it');
		doTest('the answer', async ({clock, servers}) => {
			servers[0]!.faults.dropAnswers(1, 'write');
			await clock.advance(100);
			return getHolders(servers);
		}, 'sleep-logs-1, 2, 3 had it');
		doTest('the primary, before it ran', async ({clock, servers}) => {
			await clock.advance(1.5);
			servers[0]!.kill();
			return getHolders(servers);
		}, 'nobody had it');
		doTest('the primary, before it was replicated', async ({clock, servers}) => {
			await clock.advance(10);
			servers[0]!.kill();
			return getHolders(servers);
		}, 'sleep-logs-1 had it');
		doTest('the primary, after it was replicated', async ({clock, servers}) => {
			servers[0]!.faults.dropAnswers(1, 'write');
			await clock.advance(100);
			servers[0]!.kill();
			return getHolders(servers);
		}, 'sleep-logs-1, 2, 3 had it');
	});

	describe('when its key is past the retention', () => {
		const doTest = (title: string, madeAheadMs: number, laterMs: number, waitMs = 0) => {
			// A write ran, its answer was lost, and the caller sends it again when the group no longer keeps the key. Whether it ran
			// is unknown by then, so it is not run again, and the caller is told that the outcome is unknown.
			doProof(title, async proof => {
				const requestId = createRequestId(proof.clock.wall() + madeAheadMs, createSeededRandom(5));
				const first = await proof.ask(proof.owners[0]!, createWrite(41, {requestId}), 'new');
				proof.clock.jumpWall(laterMs);
				proof.servers[0]!.faults.freeze();
				const sending = proof.send(proof.owners[1]!, createWrite(41, {requestId, attempt: 2}), 'new');
				await proof.clock.advance(waitMs);
				dropKey(proof, requestId);
				proof.servers[0]!.faults.thaw();
				const again = await proof.clock.runUntil(sending);
				return [describeAnswer(first), describeAnswer(again), proof.getScores()];
			}, ['done', 'unknown: key-expired', 'stored: 41'], {config: {keyRetentionMs: HOUR_MS}});
		};

		doTest('it is refused', 0, HOUR_MS + 1000);
		doTest('it is refused, also where the app\'s clock was ahead', 240_000, HOUR_MS + 1000);
		doTest('it is refused, also where it would wait beyond the retention', 299_500, HOUR_MS - 700, 1500);
	});
});

/** Describes which servers have the row with score 41. */
function getHolders(servers: Proof['servers']): string {
	const holders = servers.flatMap(({member}, index) => member.state.findRows('nights', [{column: 'score', value: 41}]).length > 0 ? [index + 1] : []);
	return holders.length > 0 ? `sleep-logs-${holders.join(', ')} had it` : 'nobody had it';
}
