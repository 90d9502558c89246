import {withFloor} from '../../src/sessions/session.js';
import {
	doProof, createRead, describeAnswer, createWrite, type Body, type Proof,
} from './proof-bench.js';

const LONG_LAG_MS = 60_000;

/** Writes a row, waits until all servers hold it and all owners know of it, and then makes the first replica lag far behind. */
async function lagFirstReplica(proof: Proof): Promise<string | undefined> {
	const {session} = await proof.ask(proof.owners[0]!, createWrite(41), 'new');
	await proof.clock.advance(2000);
	for (const owner of proof.owners) {
		await proof.ask(owner, createRead({latest: true}), session);
	}

	proof.servers[1]!.setReplicationLag(LONG_LAG_MS);
	return session;
}

describe('proof: read-your-writes', () => {
	describe('the token', () => {
		const doTest = (title: string, change: (token: string, proof: Proof) => string | undefined, expected: string) => {
			// A row is added through one proxy and read through another while the replica that serves most reads lags by a minute.
			// Whatever happened to the token on the way, the read must not return the old rows.
			doProof(title, async proof => {
				const before = await lagFirstReplica(proof);
				const written = await proof.ask(proof.owners[0]!, createWrite(43), before);
				const read = await proof.ask(proof.outsider, createRead(), change(written.session!, proof));
				return [describeAnswer(written), describeAnswer(read)];
			}, ['done', expected]);
		};

		doTest('was echoed', token => token, 'done: 41, 43');
		doTest('was lost', () => undefined, 'done: 41, 43');
		doTest('was trimmed', trimToken, 'done: 41, 43');
		doTest('was forged', token => `${token.slice(0, -1)}${token.endsWith('A') ? 'B' : 'A'}`, 'not-run: bad-token');
	});

	describe('a primary that was cut off with one of the owners', () => {
		const doTest = (title: string, body: Body, getToken: (written?: string) => string | undefined, expected: string) => {
			// A partition isolates the old primary with the first owner, and both still take it for the primary. Behind the other
			// owner a new primary accepts a write. The caller's next read reaches the owner that was cut off.
			doProof(title, async proof => {
				const [cutOff = '', owner = ''] = proof.owners;
				const before = await lagFirstReplica(proof);
				proof.cutOff(cutOff, proof.servers[0]!);
				await proof.clock.advance(10_000);
				const written = await proof.ask(owner, createWrite(43), before);
				const read = await proof.ask(cutOff, createRead({deadlineMs: 2000, ...body}), getToken(written.session));
				return [describeAnswer(written), describeAnswer(read)];
			}, ['done', expected]);
		};

		doTest('serves no session that wrote elsewhere', {}, token => token, 'not-run: owner-silent');
		doTest('takes no barrier for a lost token', {}, () => undefined, 'not-run: no-primary');
		doTest('serves no latest read', {latest: true}, () => 'new', 'not-run: no-primary');
		doTest('serves no read with a maximum age', {maxAgeMs: 5000}, () => 'new', 'not-run: no-primary');
	});

	describe('a promotion', () => {
		// A session has written a row when the primary dies. Its token contains the old term. The new primary's log continues
		// from there, and the session must continue through any proxy.
		doProof('keeps the writes of a token from before it', async proof => {
			const {session} = await proof.ask(proof.owners[0]!, createWrite(41), 'new');
			proof.servers[0]!.kill();
			const early = await proof.ask(proof.owners[1]!, createRead(), session);
			const written = await proof.ask(proof.outsider, createWrite(43), session);
			const late = await proof.ask(proof.owners[0]!, createRead(), written.session);
			return [describeAnswer(early), describeAnswer(written), describeAnswer(late)];
		}, ['done: 41', 'done', 'done: 41, 43']);

		// The old primary was cut off from its replicas and accepted five more writes that no replica confirmed. Now it is an
		// idle replica at position 7 of the old term, while the session wrote position 4 of the new one. Comparing positions
		// alone would send the read to the server that lacks the write and shows five that were never acknowledged.
		doProof('serves no read from a divergent replica with a high position', async proof => {
			const [old, ...others] = proof.servers;
			const before = await proof.ask(proof.owners[0]!, createWrite(41), 'new');
			old!.faults.cut(others.map(({address}) => address));
			const lost = Array.from({length: 5}, async () => proof.send(proof.owners[0]!, createWrite(99, {deadlineMs: 1000}), before.session));
			await proof.clock.advance(15_000);
			const written = await proof.ask(proof.owners[0]!, createWrite(43), before.session);
			const {term, position} = old!.member.log.end;
			const read = await proof.ask(proof.owners[0]!, createRead(), written.session);
			const [first] = await Promise.all(lost);
			return [describeAnswer(first!), describeAnswer(written), `behind: (${term}, ${position}) and ${written.position}`, describeAnswer(read)];
		}, ['unknown: not-confirmed', 'done', 'behind: (1, 7) and 4', 'done: 41, 43']);
	});

	describe('the age that a read accepts', () => {
		const young = createRead({maxAgeMs: 1000, deadlineMs: 20_000});

		// Every replica lags by a minute, and the group acknowledges a write that only its primary holds. Five seconds later, a
		// caller that has written nothing reads and accepts data of at most one second.
		doProof('is exceeded at every replica', async proof => {
			const before = await lagFirstReplica(proof);
			proof.servers[2]!.setReplicationLag(LONG_LAG_MS);
			const written = await proof.ask(proof.owners[0]!, createWrite(43), before);
			await proof.clock.advance(5000);
			return [describeAnswer(written), describeAnswer(await proof.ask(proof.owners[0]!, young, 'new'))];
		}, ['done', 'done: 41, 43'], {config: {durability: 'primary'}});

		// A replica reads the rows at once, but its answer is delayed for three seconds, in which another row is written. The
		// caller, who accepts one second, must not receive that answer.
		doProof('is exceeded when the answer arrives', async proof => {
			const {session} = await proof.ask(proof.owners[0]!, createWrite(41), 'new');
			await proof.clock.advance(500);
			proof.servers[1]!.faults.delayAnswers(3000);
			const reading = proof.send(proof.owners[0]!, young, 'new');
			await proof.clock.advance(200);
			const written = await proof.ask(proof.owners[0]!, createWrite(43), session);
			return [describeAnswer(written), describeAnswer(await proof.clock.runUntil(reading))];
		}, ['done', 'done: 41, 43']);

		// As before, but while the answer is delayed the primary dies, and the replica itself is promoted and accepts the write.
		// The owner's latest status of that server is recent, but the answer is not.
		doProof('is exceeded when the answer arrives from a server promoted meanwhile', async proof => {
			const {session} = await proof.ask(proof.owners[0]!, createWrite(41), 'new');
			await proof.clock.advance(500);
			proof.servers[1]!.faults.delayAnswers(8000);
			const heldUntil = proof.clock.now() + 8000;
			const reading = proof.send(proof.owners[0]!, young, 'new');
			await proof.clock.advance(20);
			proof.servers[1]!.faults.delayAnswers(0);
			proof.servers[0]!.kill();
			const written = await proof.ask(proof.owners[0]!, createWrite(43), session);
			await proof.clock.advance(heldUntil - 100 - proof.clock.now());
			await proof.ask(proof.owners[0]!, createRead({latest: true}), session);
			return [describeAnswer(written), describeAnswer(await proof.clock.runUntil(reading))];
		}, ['done', 'done: 41, 43']);
	});
});

/** Returns the token after the session has written to more groups than a token can hold. */
function trimToken(token: string, proof: Proof): string {
	const sessions = proof.system.proxies[0]!.kernel.getOrThrow('sessions');
	let session = sessions.verify(token)!;
	for (let index = 0; index < 100; index++) {
		session = withFloor(session, `another-of-many-groups-${index}`, {term: 1, position: 9});
	}

	return sessions.sign(session);
}
