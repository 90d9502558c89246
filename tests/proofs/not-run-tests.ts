import type {CallerResponse} from '../../src/callers/caller-response.js';
import {callerRequestSchema} from '../../src/callers/caller-request.js';
import {
	doProof, GROUP, MEMBER, say, sync, type Body, type Proof,
} from './proof-bench.js';

const RECOVERY_MS = 60_000;

const ADD = 'UPDATE nights SET score = score + $1';

/** Lets everything come back and every delayed message arrive, and then tells what stands. */
async function getTruth(proof: Proof): Promise<string> {
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

/** Loses every answer that owners give the proxy that forwards. */
function loseOwnersAnswers({system, owners, outsider}: Proof): void {
	for (const owner of owners) {
		system.network.setFaults(system.getProxyOrThrow(owner).address, system.getProxyOrThrow(outsider).address, {dropAnswers: true});
	}
}

const stallReplicas = ({servers}: Proof) => {
	for (const replica of servers.slice(1)) {
		replica.setReplicationStalled(true);
	}
};

describe('proof: "not run" is true', () => {
	describe('of a refusal at each stage', () => {
		const doTest = (title: string, fail: (proof: Proof) => void, body: Body, expected: string, stands = 'stands: nothing') => {
			// A sync is refused or goes unanswered, each time at another place on its way. The member's app shows the night as
			// lost where it is told "not run", and sends it again as a new one: it must not be there once all has recovered.
			doProof(title, async proof => {
				fail(proof);
				const answer = await proof.ask(proof.outsider, sync(41, {deadlineMs: 3000, ...body}), 'new');
				return [say(answer), await getTruth(proof)];
			}, [expected, stands]);
		};

		doTest('no owner can be reached', ({system, owners, outsider}) => {
			for (const owner of owners) {
				system.network.setFaultsBetween(system.getProxyOrThrow(owner).address, system.getProxyOrThrow(outsider).address, {cut: true});
			}
		}, {deadlineMs: 800}, 'not-run: owner-silent');
		doTest('the owners\' answers are lost', loseOwnersAnswers, {}, 'unknown: owner-silent', 'stands: 41');
		doTest('the group has no majority', ({servers}) => {
			servers[0]!.kill();
			servers[1]!.kill();
		}, {}, 'not-run: no-connection');
		doTest('the primary grants no connection', ({servers}) => {
			servers[0]!.faults.cut();
		}, {deadlineMs: 300}, 'not-run: no-connection');
		doTest('the primary\'s answers are lost', ({servers}) => {
			servers[0]!.faults.dropAnswers(99);
		}, {deadlineMs: 500}, 'unknown: endpoint-silent', 'stands: 41');
		doTest('nobody confirms', stallReplicas, {deadlineMs: 500}, 'unknown: not-confirmed', 'stands: 41');
		doTest('the statement fails', () => undefined, {statement: 'INSERT INTO nights (member) VALUES ($9)'}, 'not-run: statement-failed');

		// Four hundred bands sync at once, more than the queues hold in the time. Some are refused at the door, some give up
		// while they wait; not one of these may be in, and each of the others once.
		doProof('the group is overrun', async proof => {
			const scores = Array.from({length: 400}, (_, index) => index + 1);
			const proxies = proof.system.proxies.map(({name}) => name);
			const syncs = scores.map(async score => proof.send(proxies[score % 3]!, sync(score, {class: 'deadline', deadlineMs: 100 + (score % 200)}), 'new'));
			const answers = await proof.clock.runUntil(Promise.all(syncs));
			await proof.clock.advance(RECOVERY_MS);
			const refused = answers.filter(({outcome}) => outcome === 'not-run').length;
			return [`some are refused: ${refused > 0}`, ...findUntrue(proof, answers)];
		}, ['some are refused: true'], {sizes: {serviceMs: 20}});
	});

	describe('of a request that was sent again', () => {
		const doTest = (title: string, fail: (proof: Proof) => void, expected: string) => {
			// A sync runs, but its answer is lost behind the proxy. The app sends it again under its id a minute later, and this
			// time it is refused. "Not run" would be true of the second submission alone; the member would sync a third time.
			doProof(title, async proof => {
				const requestId = proof.createId();
				await proof.ask(proof.owners[0]!, sync(41, {requestId}), 'new');
				await proof.clock.advance(1000);
				fail(proof);
				const again = await proof.ask(proof.owners[0]!, sync(41, {requestId, deadlineMs: 300}), 'new');
				return [say(again), await getTruth(proof)];
			}, [expected, 'stands: 41']);
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

		// The first submission is held up between its proxy and the primary, and the proxy dies. The second one fails there,
		// because a transaction has the row. Once the app was told so the first must not run, when the row is free again.
		doProof('and fails, before the first arrives', async proof => {
			const [owner = '', other = ''] = proof.owners;
			const entry = proof.getEntry(other);
			const correct = sync(0, {
				requestId: proof.createId(), statement: `${ADD} WHERE member = $2`, values: [1, MEMBER], deadlineMs: 4000,
			});
			await proof.ask(owner, sync(41), 'new');
			const {requestId: transaction} = await proof.clock.runUntil(entry.begin(GROUP, {class: 'interactive', deadlineMs: 4000}, 'new'));
			await proof.clock.runUntil(entry.run(transaction, callerRequestSchema.parse(sync(0, {statement: ADD, values: [10]})), 'new'));
			proof.getLink(owner, proof.servers[0]!).setDelay(6000);
			void proof.send(owner, correct, 'new');
			await proof.clock.advance(1000);
			proof.killProcess(owner);
			const second = await proof.ask(other, {...correct, attempt: 2}, 'new');
			await proof.clock.runUntil(entry.commit(transaction, 'new'));
			return [say(second), await getTruth(proof)];
		}, ['not-run: statement-failed', 'stands: 51']);
	});

	describe('of what is found under a key', () => {
		// A sync is on its way to the primary when its proxy dies. The app asks another proxy, which finds nothing under the
		// id and says "not run". Two seconds later the original arrives after all.
		doProof('when the original arrives after the answer', async proof => {
			const [owner = '', other = ''] = proof.owners;
			const requestId = proof.createId();
			await proof.ask(owner, sync(40), 'new');
			proof.getLink(owner, proof.servers[0]!).setDelay(5000);
			void proof.send(owner, sync(41, {requestId}), 'new');
			await proof.clock.advance(100);
			proof.killProcess(owner);
			await proof.clock.advance(2900);
			const outcome = await proof.askOutcome(other, requestId);
			const between = proof.getScores();
			return [say(outcome), between, await getTruth(proof)];
		}, ['not-run: resolved', 'stands: 40', 'stands: 40']);

		const doTest = (title: string, firstScore: number | undefined, expected: string) => {
			// The old primary is cut off with one owner and still leads in their eyes. Behind the other owner a sync waits for
			// the new primary, where it will run. What the old primary has under its id a promotion takes back.
			doProof(title, async proof => {
				const [cutOff = '', owner = ''] = proof.owners;
				const requestId = proof.createId();
				await proof.ask(cutOff, sync(40), 'new');
				proof.cutOff(cutOff, proof.servers[0]!);
				const waiting = proof.send(owner, sync(41, {requestId, deadlineMs: 30_000}), 'new');
				if (firstScore !== undefined) {
					await proof.ask(cutOff, sync(firstScore, {requestId, deadlineMs: 500}), 'new');
				}

				const found = firstScore === undefined
					? await proof.askOutcome(cutOff, requestId)
					: await proof.ask(cutOff, sync(41, {requestId, deadlineMs: 500, attempt: 2}), 'new');
				const done = await proof.clock.runUntil(waiting);
				return [say(found), say(done), await getTruth(proof)];
			}, [expected, 'done', 'stands: 40, 41']);
		};

		// The group acknowledges what its primary alone holds. One owner reaches every server, the other all but the primary,
		// and holds a sync up for want of it. The first one's "not run" must outlive the promotion that the second brings about.
		doProof('by a primary that alone holds the tombstone', async proof => {
			const {system, servers, owners: [reaching = '', waiting = '']} = proof;
			const requestId = proof.createId();
			await proof.ask(reaching, sync(40), 'new');
			await proof.clock.advance(1000);
			servers[0]!.faults.cut([waiting, proof.outsider, ...servers.slice(1).map(({address}) => address)]);
			for (const proxy of [waiting, proof.outsider]) {
				system.network.setFaultsBetween(system.getProxyOrThrow(reaching).address, system.getProxyOrThrow(proxy).address, {cut: true});
			}

			const held = proof.send(waiting, sync(41, {requestId, deadlineMs: 30_000}), 'new');
			const outcome = await proof.askOutcome(reaching, requestId);
			const done = await proof.clock.runUntil(held);
			return [say(outcome), say(done), await getTruth(proof)];
		}, ['done', 'done', 'stands: 40, 41'], {config: {durability: 'primary'}});

		doTest('by a superseded primary: nothing', undefined, 'unknown: not-confirmed');
		doTest('by a superseded primary: another request', 42, 'unknown: not-confirmed');
	});
});

/** What was told of syncs that is not so; the one with the score `n` is answered by `answers[n - 1]`. */
function findUntrue(proof: Proof, answers: readonly CallerResponse[]): readonly string[] {
	const scores = proof.getScores().replace('stands: ', '').split(', ');
	return answers.flatMap((answer, index) => {
		const count = scores.filter(score => score === String(index + 1)).length;
		const isTrue = answer.outcome === 'unknown' ? count <= 1 : count === (answer.outcome === 'done' ? 1 : 0);
		return isTrue ? [] : [`${say(answer)}, but it stands ${count} times`];
	});
}
