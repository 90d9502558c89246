import {callerRequestSchema} from '../../src/callers/caller-request.js';
import type {CallerResponse} from '../../src/callers/caller-response.js';
import {createPipes} from './pipe-endpoints.js';
import {
	doProof, GROUP, pull, say, type Body, type Proof,
} from './proof-bench.js';

const RETURNING = 'INSERT INTO nights (member, score) VALUES ($1, $2) RETURNING score';

/** So long does a server keep a transaction without statements in the proofs of what the proxies do about it. */
const SERVER_KEEPS_ALL = {sizes: {idleInTransactionMs: 3_600_000}};

/** More than a proxy lets a transaction idle, in milliseconds. */
const ABANDONED_MS = 32_000;

/** Connections that one owner lends to transactions. */
const LENT = 7;

async function begin(proof: Proof, proxy: string): Promise<string> {
	const req = {class: 'interactive', deadlineMs: 4000} as const;
	const begun = await proof.clock.runUntil(proof.getEntry(proxy).begin(GROUP, req, 'new'));
	return begun.refusal ? say(begun) : begun.requestId;
}

async function run(proof: Proof, proxy: string, id: string, score: number, more: Body = {}): Promise<CallerResponse> {
	const req = callerRequestSchema.parse({
		kind: 'write', statement: RETURNING, values: ['m-17', score], ...more,
	});
	return proof.clock.runUntil(proof.getEntry(proxy).run(id, req, 'new'));
}

async function commit(proof: Proof, proxy: string, id: string): Promise<CallerResponse> {
	return proof.clock.runUntil(proof.getEntry(proxy).commit(id, 'new'));
}

/** Begins, syncs one night and commits at one proxy. */
async function runWhole(proof: Proof, proxy: string, score: number): Promise<readonly string[]> {
	const id = await begin(proof, proxy);
	const answers = [await run(proof, proxy, id, score), await commit(proof, proxy, id)];
	return answers.map(answer => say(answer));
}

/** The scores that each committed transaction wrote, as the primary's log holds them. */
function listCommitted(proof: Proof): readonly string[] {
	const {log} = proof.getPrimaryOrThrow().member;
	const committed: string[] = [];
	for (let position = 1; position <= log.end.position; position++) {
		const scores = log.get(position)!.effect.changes.flatMap(change => change.kind === 'row' ? [String(change.after?.score)] : []);
		if (scores.length > 0) {
			committed.push(`committed: ${scores.join(', ')}`);
		}
	}

	return committed;
}

describe('proof: transactions do not mix', () => {
	describe('a caller that leaves in mid-transaction', () => {
		// An attorney's browser closes after the first statement of a filing. Its connection is lent to the next
		// transaction, whose commit would put the half filing on record.
		doProof('leaves nothing in the next transaction', async proof => {
			const [owner = ''] = proof.owners;
			const left = await begin(proof, owner);
			const started = await run(proof, owner, left, 1);
			await proof.clock.advance(ABANDONED_MS);
			const next = await runWhole(proof, owner, 2);
			const late = await commit(proof, proof.outsider, left);
			return [say(started), ...next, say(late), ...listCommitted(proof)];
		}, ['done: 1', 'done: 2', 'done', 'not-run: resolved', 'committed: 2'], SERVER_KEEPS_ALL);

		// As many browsers close as the owners have connections. Nobody could open a transaction any more.
		doProof('gives its connection back', async proof => {
			for (const owner of proof.owners) {
				for (let score = 1; score <= LENT; score++) {
					await run(proof, owner, await begin(proof, owner), score);
				}
			}

			await proof.clock.advance(ABANDONED_MS);
			return [...await runWhole(proof, proof.outsider, 20), ...listCommitted(proof)];
		}, ['done: 20', 'done', 'committed: 20'], SERVER_KEEPS_ALL);
	});

	describe('a statement that was given up on', () => {
		const pipes = createPipes();
		// A statement's answer comes after its deadline. Another caller's transaction begins at the same owner meanwhile:
		// on the old connection it would read the first one's answer and commit the first one's night.
		doProof('ends its transaction, and its late answer reaches nobody', async proof => {
			const [owner = ''] = proof.owners;
			const first = await begin(proof, owner);
			pipes.holdNext(600);
			const silent = await run(proof, owner, first, 1, {deadlineMs: 300});
			const next = await runWhole(proof, owner, 2);
			await proof.clock.advance(1000);
			const more = await run(proof, owner, first, 3);
			const late = await commit(proof, owner, first);
			return [say(silent), ...next, say(more), say(late), ...listCommitted(proof)];
		}, ['unknown: endpoint-silent', 'done: 2', 'done', 'not-run: transaction-unknown', 'not-run: resolved', 'committed: 2'], {wrapEndpoints: pipes.wrap});
	});

	describe('a proxy that is gone between two statements', () => {
		// The host with the open connection loses its power. The caller goes on at another proxy and must not be told
		// that anything was committed, nor may another transaction take up what was left.
		doProof('takes its transactions with it', async proof => {
			const [holder = '', other = ''] = proof.owners;
			const left = await begin(proof, holder);
			const started = await run(proof, other, left, 1);
			proof.system.kill(holder);
			const more = await run(proof, other, left, 2);
			const next = await runWhole(proof, other, 3);
			await proof.clock.advance(10_000);
			const late = await commit(proof, proof.outsider, left);
			return [say(started), say(more), ...next, say(late), ...listCommitted(proof)];
		}, ['done: 1', 'unknown: owner-silent', 'done: 3', 'done', 'not-run: resolved', 'committed: 3']);

		// The host lives, but one proxy does not reach it: a commit sent there must not be called "not run", since the
		// transaction is open and its caller commits it through a third proxy a moment later.
		doProof('for one other proxy alone keeps its transactions', async proof => {
			const [holder = '', other = ''] = proof.owners;
			const id = await begin(proof, holder);
			await run(proof, holder, id, 1);
			proof.system.network.setFaultsBetween(proof.system.getProxyOrThrow(holder).address, proof.system.getProxyOrThrow(other).address, {cut: true});
			const unsure = await commit(proof, other, id);
			const done = await commit(proof, proof.outsider, id);
			return [say(unsure).split(':')[0]!, say(done), ...listCommitted(proof)];
		}, ['unknown', 'done', 'committed: 1'], SERVER_KEEPS_ALL);
	});

	describe('a commit in doubt', () => {
		// The commit takes effect and its answer is lost. The caller must hear that it is done, once, and its session
		// must see the night at every proxy.
		doProof('that took effect is done, and its session sees it', async proof => {
			const [owner = ''] = proof.owners;
			const id = await begin(proof, owner);
			await run(proof, owner, id, 1);
			proof.servers[0]!.faults.dropAnswers(1, 'commit');
			const committed = await commit(proof, proof.outsider, id);
			const reads = [];
			for (const {name} of proof.system.proxies) {
				reads.push(say(await proof.ask(name, pull(), committed.session)));
			}

			const again = await commit(proof, proof.outsider, id);
			return [say(committed), ...reads, say(again), ...listCommitted(proof)];
		}, ['done', 'done: 1', 'done: 1', 'done: 1', 'done', 'committed: 1']);

		// The commit is lost on its way to the primary and comes long after the caller was told that nothing ran.
		doProof('that did not arrive is not run, also when it comes later', async proof => {
			const [owner = ''] = proof.owners;
			const id = await begin(proof, owner);
			await run(proof, owner, id, 1);
			const link = proof.getLink(owner, proof.servers[0]!);
			link.cut();
			const committed = await commit(proof, proof.outsider, id);
			link.heal();
			await proof.clock.advance(1000);
			return [say(committed), ...listCommitted(proof)];
		}, ['not-run: resolved'], {sizes: {idleInTransactionMs: 2000}});

		// The primary commits and is cut off from its replicas before they have the entry; another server is promoted.
		doProof('at a primary that is superseded is settled at the next one', async proof => {
			const [owner = ''] = proof.owners;
			const [old] = proof.servers;
			await runWhole(proof, owner, 1);
			const {position} = old!.member.log.end;
			const id = await begin(proof, owner);
			await run(proof, owner, id, 2);
			old!.faults.cut(proof.servers.slice(1).map(({address}) => address));
			const committing = proof.getEntry(proof.outsider).commit(id, 'new');
			await proof.clock.advance(50);
			const entry = `at the old primary: ${old!.member.log.end.position > position}`;
			old!.faults.cut();
			const committed = await proof.clock.runUntil(committing);
			old!.faults.heal();
			await proof.clock.advance(5000);
			const read = await proof.ask(proof.outsider, pull(), committed.session);
			return [entry, say(committed), say(read), ...listCommitted(proof)];
		}, ['at the old primary: true', 'not-run: resolved', 'done: 1', 'committed: 1']);
	});
});
