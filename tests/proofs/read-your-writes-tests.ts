import {withFloor} from '../../src/sessions/session.js';
import {
	doProof, pull, say, sync, type Body, type Proof,
} from './proof-bench.js';

const LONG_LAG_MS = 60_000;

/** A member's night is synced, all servers hold it and all owners know so; then the replica that is asked first falls far behind. */
async function lagFirstReplica(proof: Proof): Promise<string | undefined> {
	const {session} = await proof.ask(proof.owners[0]!, sync(41), 'new');
	await proof.clock.advance(2000);
	for (const owner of proof.owners) {
		await proof.ask(owner, pull({latest: true}), session);
	}

	proof.servers[1]!.setReplicationLag(LONG_LAG_MS);
	return session;
}

describe('proof: read-your-writes', () => {
	describe('the token', () => {
		const doTest = (title: string, change: (token: string, proof: Proof) => string | undefined, expected: string) => {
			// A night is corrected through one proxy and read through another while the replica that serves most reads lags by
			// a minute. Whatever became of the token on the way, the old score would have the coach plan a hard session.
			doProof(title, async proof => {
				const before = await lagFirstReplica(proof);
				const written = await proof.ask(proof.owners[0]!, sync(43), before);
				const read = await proof.ask(proof.outsider, pull(), change(written.session!, proof));
				return [say(written), say(read)];
			}, ['done', expected]);
		};

		doTest('was echoed', token => token, 'done: 41, 43');
		doTest('was lost', () => undefined, 'done: 41, 43');
		doTest('was trimmed', trimToken, 'done: 41, 43');
		doTest('was forged', token => `${token.slice(0, -1)}${token.endsWith('A') ? 'B' : 'A'}`, 'not-run: bad-token');
	});

	describe('a primary that was cut off with one of the owners', () => {
		const doTest = (title: string, body: Body, getToken: (written?: string) => string | undefined, expected: string) => {
			// A partition leaves the old primary alone with the first owner, which both still believe in it. Behind the other
			// owner a new primary takes a correction. The coach's next pull reaches the owner that was cut off.
			doProof(title, async proof => {
				const [cutOff = '', owner = ''] = proof.owners;
				const before = await lagFirstReplica(proof);
				proof.cutOff(cutOff, proof.servers[0]!);
				await proof.clock.advance(10_000);
				const written = await proof.ask(owner, sync(43), before);
				const read = await proof.ask(cutOff, pull({deadlineMs: 2000, ...body}), getToken(written.session));
				return [say(written), say(read)];
			}, ['done', expected]);
		};

		doTest('serves no session that wrote elsewhere', {}, token => token, 'not-run: owner-silent');
		doTest('gives no barrier for a lost token', {}, () => undefined, 'not-run: no-primary');
		doTest('gives no latest read', {latest: true}, () => 'new', 'not-run: no-primary');
		doTest('gives no read that is to be young', {maxAgeMs: 5000}, () => 'new', 'not-run: no-primary');
	});

	describe('a promotion', () => {
		// A session has written a night when the primary dies. Its token speaks of the old term; the new primary's log
		// goes on from there, and so does the session, at whatever proxy.
		doProof('keeps what a token from before it speaks of', async proof => {
			const {session} = await proof.ask(proof.owners[0]!, sync(41), 'new');
			proof.servers[0]!.kill();
			const early = await proof.ask(proof.owners[1]!, pull(), session);
			const written = await proof.ask(proof.outsider, sync(43), session);
			const late = await proof.ask(proof.owners[0]!, pull(), written.session);
			return [say(early), say(written), say(late)];
		}, ['done: 41', 'done', 'done: 41, 43']);

		// The old primary was cut off from its replicas and took five more syncs that nobody confirmed. Now it is an idle
		// replica at position 7 of the old term, while the session wrote position 4 of the new one. The numbers alone
		// would send the coach to the server that lacks the night and shows five that were never acknowledged.
		doProof('leaves a divergent replica with a high position', async proof => {
			const [old, ...others] = proof.servers;
			const before = await proof.ask(proof.owners[0]!, sync(41), 'new');
			old!.faults.cut(others.map(({address}) => address));
			const lost = Array.from({length: 5}, async () => proof.send(proof.owners[0]!, sync(99, {deadlineMs: 1000}), before.session));
			await proof.clock.advance(15_000);
			const written = await proof.ask(proof.owners[0]!, sync(43), before.session);
			const {term, position} = old!.member.log.end;
			const read = await proof.ask(proof.owners[0]!, pull(), written.session);
			const [first] = await Promise.all(lost);
			return [say(first!), say(written), `behind: (${term}, ${position}) and ${written.position}`, say(read)];
		}, ['unknown: not-confirmed', 'done', 'behind: (1, 7) and 4', 'done: 41, 43']);
	});

	describe('the age that a read accepts', () => {
		const young = pull({maxAgeMs: 1000, deadlineMs: 20_000});

		// Every replica lags by a minute, and the group acknowledges a correction that its primary alone holds. A coach who
		// accepts data of one second asks five seconds later, as a caller that has written nothing.
		doProof('is older at every replica', async proof => {
			const before = await lagFirstReplica(proof);
			proof.servers[2]!.setReplicationLag(LONG_LAG_MS);
			const written = await proof.ask(proof.owners[0]!, sync(43), before);
			await proof.clock.advance(5000);
			return [say(written), say(await proof.ask(proof.owners[0]!, young, 'new'))];
		}, ['done', 'done: 41, 43'], {config: {durability: 'primary'}});

		// A replica reads the rows at once, but its answer is held up for three seconds, in which the night is corrected.
		// The coach who accepts one second must not be given it.
		doProof('has passed when the answer arrives', async proof => {
			const {session} = await proof.ask(proof.owners[0]!, sync(41), 'new');
			await proof.clock.advance(500);
			proof.servers[1]!.faults.delayAnswers(3000);
			const reading = proof.send(proof.owners[0]!, young, 'new');
			await proof.clock.advance(200);
			const written = await proof.ask(proof.owners[0]!, sync(43), session);
			return [say(written), say(await proof.clock.runUntil(reading))];
		}, ['done', 'done: 41, 43']);

		// As before, but while the answer is held up the primary dies, the replica itself is promoted and takes the
		// correction. What the owner knows of that server now is young; the answer is not.
		doProof('has passed when the answer arrives from a server promoted meanwhile', async proof => {
			const {session} = await proof.ask(proof.owners[0]!, sync(41), 'new');
			await proof.clock.advance(500);
			proof.servers[1]!.faults.delayAnswers(8000);
			const heldUntil = proof.clock.now() + 8000;
			const reading = proof.send(proof.owners[0]!, young, 'new');
			await proof.clock.advance(20);
			proof.servers[1]!.faults.delayAnswers(0);
			proof.servers[0]!.kill();
			const written = await proof.ask(proof.owners[0]!, sync(43), session);
			await proof.clock.advance(heldUntil - 100 - proof.clock.now());
			await proof.ask(proof.owners[0]!, pull({latest: true}), session);
			return [say(written), say(await proof.clock.runUntil(reading))];
		}, ['done', 'done: 41, 43']);
	});
});

/** The session has since written to more groups than a token holds. */
function trimToken(token: string, proof: Proof): string {
	const sessions = proof.system.proxies[0]!.kernel.getOrThrow('sessions');
	let session = sessions.verify(token)!;
	for (let index = 0; index < 100; index++) {
		session = withFloor(session, `another-of-many-groups-${index}`, {term: 1, position: 9});
	}

	return sessions.sign(session);
}
