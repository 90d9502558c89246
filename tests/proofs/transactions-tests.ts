import {callerRequestSchema} from '../../src/callers/caller-request.js';
import type {CallerResponse} from '../../src/callers/caller-response.js';
import {createPipes} from './pipe-endpoints.js';
import {
	doProof, GROUP, createRead, describeAnswer, type Body, type Proof,
} from './proof-bench.js';

const RETURNING = 'INSERT INTO nights (member, score) VALUES ($1, $2) RETURNING score';

/** Makes servers keep idle transactions for an hour, in tests of how the proxies end them. */
const LONG_SERVER_IDLE_TIMEOUT = {serverParameters: {idleInTransactionMs: 3_600_000}};

/** Longer than a proxy lets a transaction idle, in milliseconds. */
const IDLE_MS = 32_000;

/** Number of an owner's connections that transactions can use. */
const OWNER_CONNECTIONS = 7;

async function begin(proof: Proof, proxy: string): Promise<string> {
	const req = {class: 'interactive', deadlineMs: 4000} as const;
	const begun = await proof.clock.runUntil(proof.getEntry(proxy).begin(GROUP, req, 'new'));
	return begun.refusal ? describeAnswer(begun) : begun.requestId;
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

/** Begins a transaction, writes one row and commits, all at one proxy. */
async function runWhole(proof: Proof, proxy: string, score: number): Promise<readonly string[]> {
	const id = await begin(proof, proxy);
	const answers = [await run(proof, proxy, id, score), await commit(proof, proxy, id)];
	return answers.map(answer => describeAnswer(answer));
}

/** Lists the scores that each committed transaction wrote, from the primary's log. */
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
		// A caller leaves after the first statement of its transaction. Its connection is used by the next transaction, whose
		// commit must not include that statement.
		doProof('leaves nothing in the next transaction', async proof => {
			const [owner = ''] = proof.owners;
			const left = await begin(proof, owner);
			const started = await run(proof, owner, left, 1);
			await proof.clock.advance(IDLE_MS);
			const next = await runWhole(proof, owner, 2);
			const late = await commit(proof, proof.outsider, left);
			return [describeAnswer(started), ...next, describeAnswer(late), ...listCommitted(proof)];
		}, ['done: 1', 'done: 2', 'done', 'not-run: resolved', 'committed: 2'], LONG_SERVER_IDLE_TIMEOUT);

		// As many callers leave as the owners have connections. Without a release, no transaction could begin any more.
		doProof('has its connection released', async proof => {
			for (const owner of proof.owners) {
				for (let score = 1; score <= OWNER_CONNECTIONS; score++) {
					await run(proof, owner, await begin(proof, owner), score);
				}
			}

			await proof.clock.advance(IDLE_MS);
			return [...await runWhole(proof, proof.outsider, 20), ...listCommitted(proof)];
		}, ['done: 20', 'done', 'committed: 20'], LONG_SERVER_IDLE_TIMEOUT);
	});

	describe('a statement that was given up on', () => {
		const pipes = createPipes();
		// A statement's answer arrives after its deadline. Another caller's transaction begins at the same owner meanwhile. On the
		// old connection it would receive the first one's answer and commit the first one's row.
		doProof('ends its transaction, and its late answer reaches no caller', async proof => {
			const [owner = ''] = proof.owners;
			const first = await begin(proof, owner);
			pipes.delayNextAnswer(600);
			const silent = await run(proof, owner, first, 1, {deadlineMs: 300});
			const next = await runWhole(proof, owner, 2);
			await proof.clock.advance(1000);
			const more = await run(proof, owner, first, 3);
			const late = await commit(proof, owner, first);
			return [describeAnswer(silent), ...next, describeAnswer(more), describeAnswer(late), ...listCommitted(proof)];
		}, ['unknown: endpoint-silent', 'done: 2', 'done', 'not-run: transaction-unknown', 'not-run: resolved', 'committed: 2'], {wrapEndpoints: pipes.wrap});
	});

	describe('a proxy that is gone between two statements', () => {
		// The host with the open connection loses power. The caller continues at another proxy and must not be told that anything
		// was committed, and no other transaction may include the statements left behind.
		doProof('ends its transactions', async proof => {
			const [holder = '', other = ''] = proof.owners;
			const left = await begin(proof, holder);
			const started = await run(proof, other, left, 1);
			proof.system.kill(holder);
			const more = await run(proof, other, left, 2);
			const next = await runWhole(proof, other, 3);
			await proof.clock.advance(10_000);
			const late = await commit(proof, proof.outsider, left);
			return [describeAnswer(started), describeAnswer(more), ...next, describeAnswer(late), ...listCommitted(proof)];
		}, ['done: 1', 'unknown: owner-silent', 'done: 3', 'done', 'not-run: resolved', 'committed: 3']);

		// The host runs, but one proxy does not reach it. A commit sent through that proxy must not be answered as "not run",
		// since the transaction is open and its caller commits it through a third proxy soon afterwards.
		doProof('that only one other proxy cannot reach keeps its transactions', async proof => {
			const [holder = '', other = ''] = proof.owners;
			const id = await begin(proof, holder);
			await run(proof, holder, id, 1);
			proof.system.network.setFaultsBetween(proof.system.getProxyOrThrow(holder).address, proof.system.getProxyOrThrow(other).address, {cut: true});
			const unknown = await commit(proof, other, id);
			const done = await commit(proof, proof.outsider, id);
			return [describeAnswer(unknown).split(':')[0]!, describeAnswer(done), ...listCommitted(proof)];
		}, ['unknown', 'done', 'committed: 1'], LONG_SERVER_IDLE_TIMEOUT);
	});

	describe('a commit with an unknown outcome', () => {
		// The commit takes effect and its answer is lost. The caller must be told that it is done, it must take effect once, and
		// the session must see the row at every proxy.
		doProof('that took effect is done, and its session sees it', async proof => {
			const [owner = ''] = proof.owners;
			const id = await begin(proof, owner);
			await run(proof, owner, id, 1);
			proof.servers[0]!.faults.dropAnswers(1, 'commit');
			const committed = await commit(proof, proof.outsider, id);
			const reads = [];
			for (const {name} of proof.system.proxies) {
				reads.push(describeAnswer(await proof.ask(name, createRead(), committed.session)));
			}

			const again = await commit(proof, proof.outsider, id);
			return [describeAnswer(committed), ...reads, describeAnswer(again), ...listCommitted(proof)];
		}, ['done', 'done: 1', 'done: 1', 'done: 1', 'done', 'committed: 1']);

		// The link to the primary is cut, so the commit arrives long after the caller was told that nothing ran.
		doProof('that did not arrive is not run, also when it comes later', async proof => {
			const [owner = ''] = proof.owners;
			const id = await begin(proof, owner);
			await run(proof, owner, id, 1);
			const link = proof.getLink(owner, proof.servers[0]!);
			link.cut();
			const committed = await commit(proof, proof.outsider, id);
			link.heal();
			await proof.clock.advance(1000);
			return [describeAnswer(committed), ...listCommitted(proof)];
		}, ['not-run: resolved'], {serverParameters: {idleInTransactionMs: 2000}});

		// The primary commits and is cut off from its replicas before they have the entry. Another server is promoted.
		doProof('at a primary that is superseded is resolved at the next one', async proof => {
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
			const read = await proof.ask(proof.outsider, createRead(), committed.session);
			return [entry, describeAnswer(committed), describeAnswer(read), ...listCommitted(proof)];
		}, ['at the old primary: true', 'not-run: resolved', 'done: 1', 'committed: 1']);
	});
});
