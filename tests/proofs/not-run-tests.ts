import type {CallerResponse} from '../../src/callers/caller-response.js';
import {callerRequestSchema} from '../../src/callers/caller-request.js';
import {
	doProof, GROUP, MEMBER, describeAnswer, createWrite, type Body, type Proof,
} from './proof-bench.js';

const RECOVERY_MS = 60_000;

const ADD = 'UPDATE nights SET score = score + $1';

/** Ends all faults, lets every delayed message arrive, and returns the scores that the primary then holds. */
async function getFinalScores(proof: Proof): Promise<string> {
	proof.system.network.heal();
	for (const server of proof.servers) {
		server.restart();
		server.faults.heal();
		server.faults.delayAnswers(0);
		server.faults.dropAnswers(0);
		server.setReplicationStalled(false);
	}

	await proof.clock.advance(RECOVERY_MS);
	return proof.getScores();
}

/** Drops every answer from the owners to the proxy that forwards requests to them. */
function loseOwnersAnswers({system, owners, outsider}: Proof): void {
	for (const owner of owners) {
		system.network.setFaults(system.getProxyOrThrow(owner).address, system.getProxyOrThrow(outsider).address, {dropResponses: true});
	}
}

const stallReplicas = ({servers}: Proof) => {
	for (const replica of servers.slice(1)) {
		replica.setReplicationStalled(true);
	}
};

describe('proof: "not run" is true', () => {
	describe('of a refusal at each stage', () => {
		const doTest = (title: string, fail: (proof: Proof) => void, body: Body, expected: string, stored = 'stored: nothing') => {
			// A write is refused or not answered, each time at another stage. A caller that is told "not run" sends it again as a
			// new request, so the first one must not have taken effect once everything has recovered.
			doProof(title, async proof => {
				fail(proof);
				const answer = await proof.ask(proof.outsider, createWrite(41, {deadlineMs: 3000, ...body}), 'new');
				return [describeAnswer(answer), await getFinalScores(proof)];
			}, [expected, stored]);
		};

		doTest('no owner can be reached', ({system, owners, outsider}) => {
			for (const owner of owners) {
				system.network.setFaultsBetween(system.getProxyOrThrow(owner).address, system.getProxyOrThrow(outsider).address, {cut: true});
			}
		}, {deadlineMs: 800}, 'not-run: owner-silent');
		doTest('the owners\' answers are lost', loseOwnersAnswers, {}, 'unknown: owner-silent', 'stored: 41');
		doTest('the group has no majority', ({servers}) => {
			servers[0]!.kill();
			servers[1]!.kill();
		}, {}, 'not-run: no-connection');
		doTest('the primary accepts no connection', ({servers}) => {
			servers[0]!.faults.cut();
		}, {deadlineMs: 300}, 'not-run: no-connection');
		doTest('the primary\'s answers are lost', ({servers}) => {
			servers[0]!.faults.dropAnswers(99);
		}, {deadlineMs: 500}, 'unknown: endpoint-silent', 'stored: 41');
		doTest('no replica confirms', stallReplicas, {deadlineMs: 500}, 'unknown: not-confirmed', 'stored: 41');
		doTest('the statement fails', () => undefined, {statement: 'INSERT INTO nights (member) VALUES ($9)'}, 'not-run: statement-failed');

		// Four hundred writes arrive at once, more than the queues can serve in time. Some are refused on arrival, some time out
		// while they wait. None of these may have taken effect, and each of the others exactly once.
		doProof('the group is overloaded', async proof => {
			const scores = Array.from({length: 400}, (_, index) => index + 1);
			const proxies = proof.system.proxies.map(({name}) => name);
			const writes = scores.map(async score => proof.send(proxies[score % 3]!, createWrite(score, {class: 'deadline', deadlineMs: 100 + (score % 200)}), 'new'));
			const answers = await proof.clock.runUntil(Promise.all(writes));
			await proof.clock.advance(RECOVERY_MS);
			const refused = answers.filter(({outcome}) => outcome === 'not-run').length;
			return [`some are refused: ${refused > 0}`, ...findWrongAnswers(proof, answers)];
		}, ['some are refused: true'], {serverParameters: {serviceMs: 20}});
	});

	describe('of a request that was sent again', () => {
		const doTest = (title: string, fail: (proof: Proof) => void, expected: string) => {
			// A write runs, and its caller sends it again under the same id later, as after a lost answer. This time it is refused.
			// "Not run" would only be true of the second submission, and the caller would send the write a third time.
			doProof(title, async proof => {
				const requestId = proof.createId();
				await proof.ask(proof.owners[0]!, createWrite(41, {requestId}), 'new');
				await proof.clock.advance(1000);
				fail(proof);
				const again = await proof.ask(proof.owners[0]!, createWrite(41, {requestId, deadlineMs: 300}), 'new');
				return [describeAnswer(again), await getFinalScores(proof)];
			}, [expected, 'stored: 41']);
		};

		doTest('and finds no majority', ({servers}) => {
			servers[0]!.kill();
			servers[1]!.kill();
		}, 'unknown: no-connection');
		doTest('and finds the primary silent', ({servers}) => {
			servers[0]!.faults.cut();
		}, 'unknown: no-connection');
		doTest('after the group dropped its key', ({clock}) => {
			clock.jumpWall(90_000_000);
		}, 'unknown: key-expired');

		// The first submission is delayed between its proxy and the primary, and the proxy dies. The second one fails at the
		// primary, because a transaction has locked the row. After that answer, the first must not run once the row is unlocked.
		doProof('and fails, before the first arrives', async proof => {
			const [owner = '', other = ''] = proof.owners;
			const entry = proof.getEntry(other);
			const correct = createWrite(0, {
				requestId: proof.createId(), statement: `${ADD} WHERE member = $2`, values: [1, MEMBER], deadlineMs: 4000,
			});
			await proof.ask(owner, createWrite(41), 'new');
			const {requestId: transaction} = await proof.clock.runUntil(entry.begin(GROUP, {class: 'interactive', deadlineMs: 4000}, 'new'));
			await proof.clock.runUntil(entry.run(transaction, callerRequestSchema.parse(createWrite(0, {statement: ADD, values: [10]})), 'new'));
			proof.getLink(owner, proof.servers[0]!).setDelay(6000);
			void proof.send(owner, correct, 'new');
			await proof.clock.advance(1000);
			proof.killProcess(owner);
			const second = await proof.ask(other, {...correct, attempt: 2}, 'new');
			await proof.clock.runUntil(entry.commit(transaction, 'new'));
			return [describeAnswer(second), await getFinalScores(proof)];
		}, ['not-run: statement-failed', 'stored: 51']);
	});

	describe('of what is found under a key', () => {
		// A write is on its way to the primary when its proxy dies. The caller asks another proxy, which finds nothing under the
		// id and answers "not run". Two seconds later the original arrives after all.
		doProof('when the original arrives after the answer', async proof => {
			const [owner = '', other = ''] = proof.owners;
			const requestId = proof.createId();
			await proof.ask(owner, createWrite(40), 'new');
			proof.getLink(owner, proof.servers[0]!).setDelay(5000);
			void proof.send(owner, createWrite(41, {requestId}), 'new');
			await proof.clock.advance(100);
			proof.killProcess(owner);
			await proof.clock.advance(2900);
			const outcome = await proof.queryOutcome(other, requestId);
			const between = proof.getScores();
			return [describeAnswer(outcome), between, await getFinalScores(proof)];
		}, ['not-run: resolved', 'stored: 40', 'stored: 40']);

		const doTest = (title: string, firstScore: number | undefined, expected: string) => {
			// The old primary is cut off together with one owner, and both still take it for the primary. At the other owner a
			// write waits for the new primary, where it will run. A promotion reverts what the old primary holds under its id.
			doProof(title, async proof => {
				const [cutOff = '', owner = ''] = proof.owners;
				const requestId = proof.createId();
				await proof.ask(cutOff, createWrite(40), 'new');
				proof.cutOff(cutOff, proof.servers[0]!);
				const waiting = proof.send(owner, createWrite(41, {requestId, deadlineMs: 30_000}), 'new');
				if (firstScore !== undefined) {
					await proof.ask(cutOff, createWrite(firstScore, {requestId, deadlineMs: 500}), 'new');
				}

				const found = firstScore === undefined
					? await proof.queryOutcome(cutOff, requestId)
					: await proof.ask(cutOff, createWrite(41, {requestId, deadlineMs: 500, attempt: 2}), 'new');
				const done = await proof.clock.runUntil(waiting);
				return [describeAnswer(found), describeAnswer(done), await getFinalScores(proof)];
			}, [expected, 'done', 'stored: 40, 41']);
		};

		// The group acknowledges writes that only its primary holds. One owner reaches every server. The other reaches all but the
		// primary and keeps a write waiting for one. The first owner's answer must stay true after the second one's promotion.
		doProof('by a primary that alone holds the tombstone', async proof => {
			const {system, servers, owners: [reaching = '', waiting = '']} = proof;
			const requestId = proof.createId();
			await proof.ask(reaching, createWrite(40), 'new');
			await proof.clock.advance(1000);
			servers[0]!.faults.cut([waiting, proof.outsider, ...servers.slice(1).map(({address}) => address)]);
			for (const proxy of [waiting, proof.outsider]) {
				system.network.setFaultsBetween(system.getProxyOrThrow(reaching).address, system.getProxyOrThrow(proxy).address, {cut: true});
			}

			const held = proof.send(waiting, createWrite(41, {requestId, deadlineMs: 30_000}), 'new');
			const outcome = await proof.queryOutcome(reaching, requestId);
			const done = await proof.clock.runUntil(held);
			return [describeAnswer(outcome), describeAnswer(done), await getFinalScores(proof)];
		}, ['done', 'done', 'stored: 40, 41'], {config: {durability: 'primary'}});

		doTest('by a superseded primary: nothing', undefined, 'unknown: not-confirmed');
		doTest('by a superseded primary: another request', 42, 'unknown: not-confirmed');
	});
});

/** Returns descriptions of the answers that are wrong. The write with score `n` is answered by `answers[n - 1]`. */
function findWrongAnswers(proof: Proof, answers: readonly CallerResponse[]): readonly string[] {
	const scores = proof.getScores().replace('stored: ', '').split(', ');
	return answers.flatMap((answer, index) => {
		const count = scores.filter(score => score === String(index + 1)).length;
		const isTrue = answer.outcome === 'unknown' ? count <= 1 : count === (answer.outcome === 'done' ? 1 : 0);
		return isTrue ? [] : [`${describeAnswer(answer)}, but it is stored ${count} times`];
	});
}
