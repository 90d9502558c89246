import type {DatabaseServer} from '../../src/stand-ins/database/database-server.js';
import {
	doProof, createRead, describeAnswer, createWrite, type Proof,
} from './proof-bench.js';

const PRIMARY_ALONE = {config: {durability: 'primary'}} as const;

const cutApart = (left: DatabaseServer, ...others: readonly DatabaseServer[]) => {
	left.faults.cut(others.map(({address}) => address));
};

/** Writes one row that all servers have, and a second acknowledged one that only the primary has. */
async function writeUnreplicated(proof: Proof) {
	const [primary, ...replicas] = proof.servers;
	const first = await proof.ask(proof.owners[0]!, createWrite(41), 'new');
	await proof.clock.advance(100);
	cutApart(primary!, ...replicas);
	return proof.ask(proof.owners[0]!, createWrite(43), first.session);
}

describe('proof: a lost write is reported', () => {
	// The group acknowledges writes that only its primary holds. A write is acknowledged and lost with the primary. The session
	// must be told of the loss before it reads rows without the write, and continue afterwards.
	doProof('once, to its own session', async proof => {
		const written = await writeUnreplicated(proof);
		proof.servers[0]!.kill();
		await proof.clock.advance(5000);
		const lossReport = await proof.ask(proof.outsider, createRead(), written.session);
		const next = await proof.ask(proof.owners[0]!, createRead(), lossReport.session);
		const stranger = await proof.ask(proof.owners[0]!, createRead(), undefined);
		return [describeAnswer(written), describeAnswer(lossReport), describeAnswer(next), describeAnswer(stranger)];
	}, ['done', 'not-run: write-lost', 'done: 41', 'done: 41'], PRIMARY_ALONE);

	// The server that was promoted without the write dies before any other follows it. The old primary restarts, and the next
	// promotion uses its log. If the session had been told of a loss in between, that would have been wrong.
	doProof('only once no promotion can bring the write back', async proof => {
		const [old, successor, third] = proof.servers;
		const written = await writeUnreplicated(proof);
		old!.kill();
		cutApart(successor!, third!);
		await proof.clock.advance(5000);
		const between = await proof.ask(proof.owners[0]!, createRead({deadlineMs: 1000}), written.session);
		const promoted = `promoted: ${successor!.member.isPrimaryAt(2)}`;
		successor!.kill();
		old!.restart();
		old!.faults.heal();
		await proof.clock.advance(5000);
		const after = await proof.ask(proof.owners[0]!, createRead(), written.session);
		return [describeAnswer(written), promoted, describeAnswer(between), describeAnswer(after)];
	}, ['done', 'promoted: true', 'not-run: no-endpoint', 'done: 41, 43'], PRIMARY_ALONE);

	// A caller without a token is served after a barrier, whose position is an entry that only the primary holds. The read is
	// delayed on its way. The primary is superseded, follows the new one and drops the entry before the read arrives. The
	// caller wrote nothing and has lost nothing, so the barrier is taken again.
	doProof('never for a barrier', async proof => {
		const [owner = ''] = proof.owners;
		const [old] = proof.servers;
		const link = proof.getLink(owner, old!);
		const written = await writeUnreplicated(proof);
		await proof.ask(owner, createRead({latest: true}), written.session);
		const reading = proof.send(owner, createRead({deadlineMs: 30_000}), undefined);
		await proof.clock.advance(1.5);
		link.setDelay(20_000);
		await proof.clock.advance(1);
		link.setDelay(0);
		old!.faults.cut();
		await proof.clock.advance(14_000);
		old!.faults.heal();
		const read = await proof.clock.runUntil(reading);
		return [describeAnswer(written), `position of term ${old!.member.log.get(3)!.term}`, describeAnswer(read)];
	}, ['done', 'position of term 2', 'done: 41'], PRIMARY_ALONE);
});
