import {Outcome} from '../callers/caller-response.js';
import {EndpointRole, KeyedWriteResult, type EndpointConnection} from '../endpoints/endpoint.js';
import type {Service} from '../kernel/service.js';
import type {OwnersService} from '../owners/create-owners.js';
import type {GroupOwner} from '../owners/group-owner.js';
import {createNotRunResponse, createUnknownResponse, createRefusal} from '../owners/owner-responses.js';
import type {Peers} from '../peers/peers.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {OwnerResponse} from '../routing/owner-request.js';
import type {Clock} from '../time/clock.js';
import {createOpenTransactions, type OpenTransaction} from './open-transaction.js';
import type {BeginCall, EndCall, RunCall} from './transaction-calls.js';

/** Holds the open transactions of the groups that this host owns. */
export type Transactions = Service & {
	begin(call: BeginCall): Promise<OwnerResponse>;
	run(call: RunCall): Promise<OwnerResponse>;
	commit(call: EndCall): Promise<OwnerResponse>;
	rollback(call: EndCall): Promise<OwnerResponse>;
	/** Returns how many transactions are open, or committed with an outcome that is not yet resolved. */
	getOpenCount(): number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		transactions: Transactions;
	}
}

/** Options of {@link createTransactions}. */
export type TransactionsOptions = {
	readonly clock: Clock;
	readonly owners: OwnersService;
	readonly peers: Peers;
};

/** A transaction without a statement for this long is rolled back, in milliseconds. */
const IDLE_TIMEOUT_MS = 30_000;

/** A transaction open for this long is rolled back, in milliseconds. */
const MAX_DURATION_MS = 120_000;

/** Interval of the sweep for abandoned transactions, in milliseconds. */
const SWEEP_INTERVAL_MS = 1000;

/** Digest stored with a transaction's key, since its statements are not known when it begins. */
const TRANSACTION_DIGEST = 'transaction';

/** Creates the transactions of one host. */
export function createTransactions(options: TransactionsOptions): Transactions {
	const {clock, owners, peers} = options;
	const open = createOpenTransactions();
	const stopping = new AbortController();
	/**
	 * Number of commits that the primary has run and no majority has confirmed yet. They count as open, since a host that
	 * stopped as idle would abort the confirmation, and the caller's host would have to find the outcome at another owner.
	 */
	let resolving = 0;

	const openAt = async (owner: GroupOwner, call: BeginCall, deadlineAt: number): Promise<OwnerResponse> => {
		// From here on the transaction is inside the write gate, which it leaves when it ends.
		const primary = await owner.writes.enterAtPrimary(deadlineAt);
		if (!primary) {
			return refuseNoPrimary(owner);
		}

		let connection: EndpointConnection;
		try {
			connection = await primary.parts.pool.acquire(deadlineAt);
		} catch (err) {
			owner.parts.writeGate.leave();
			return createNotRunResponse(createRefusal(RefusalCode.NoConnection, {
				reason: `the primary ${primary.endpoint.name} gave no connection`,
				facts: {endpoint: primary.endpoint.name, cause: (err as Error).message},
				retryAfterMs: 100,
			}));
		}

		// The primary may have been ordered to drain, or begun to leave, while the transaction waited for its connection.
		if (!owner.parts.mayTakeWork(primary.endpoint, clock.now())) {
			primary.parts.pool.release(connection);
			owner.parts.writeGate.leave();
			return openAt(owner, call, deadlineAt);
		}

		// The same id may be submitted twice; the second transaction would replace the first one and destroy its connection.
		if (open.get(call.requestId)) {
			primary.parts.pool.release(connection);
			owner.parts.writeGate.leave();
			return refuseBusy(call.requestId);
		}

		const transaction: OpenTransaction = {
			requestId: call.requestId,
			group: owner.parts,
			primary: primary.endpoint,
			parts: primary.parts,
			term: primary.term,
			connection,
			startedAt: clock.now(),
			lastUsedAt: clock.now(),
			busy: true,
			endWork: owner.parts.running.begin(primary.endpoint.name, {what: 'transaction', requestId: call.requestId, since: clock.now()}),
		};
		open.add(transaction);
		return beginOn(transaction, owner, deadlineAt);
	};

	const beginOn = async (transaction: OpenTransaction, owner: GroupOwner, deadlineAt: number): Promise<OwnerResponse> => {
		const sentAt = clock.now();
		try {
			const {requestId, term} = transaction;
			const answer = await transaction.connection.begin({requestId, digest: TRANSACTION_DIGEST, term}, Math.max(1, deadlineAt - sentAt));
			if (answer.result === KeyedWriteResult.Ran) {
				transaction.busy = false;
				return answerOpen(transaction);
			}

			// The key existed already, so another submission of the id may have ended the transaction. A caller that got "done"
			// would take the transaction for open, and its commit would seem to succeed without its statements.
			open.end(transaction, false);
			const end = await owner.writes.complete({
				primary: transaction.primary, term, answer, sentAt,
			}, deadlineAt);
			return end.outcome === Outcome.Done ? refuseEnded(transaction) : end;
		} catch (err) {
			open.end(transaction, false);
			return refuseLost(transaction, err);
		}
	};

	const find = (requestId: string): OpenTransaction | OwnerResponse => {
		const transaction = open.get(requestId);
		if (!transaction) {
			return createNotRunResponse(createRefusal(RefusalCode.TransactionUnknown, {
				reason: 'no such transaction is open here: it ended, timed out, or its host was replaced',
				facts: {requestId},
			}));
		}

		if (transaction.busy) {
			return refuseBusy(requestId);
		}

		return transaction;
	};

	const withTransaction = async (requestId: string, work: (transaction: OpenTransaction) => Promise<OwnerResponse>) => {
		const found = find(requestId);
		if ('outcome' in found) {
			return found;
		}

		found.busy = true;
		found.lastUsedAt = clock.now();
		try {
			return await work(found);
		} catch (err) {
			open.end(found, false);
			return refuseLost(found, err);
		} finally {
			found.busy = false;
		}
	};

	const runOn = async (transaction: OpenTransaction, call: RunCall, deadlineAt: number): Promise<OwnerResponse> => {
		const {admission, name} = transaction.parts;
		const slot = await admission.acquire({class: call.class, deadlineAt}, clock.now());
		if (!slot.admitted) {
			return createNotRunResponse(slot.refusal);
		}

		let served = false;
		try {
			const answer = await transaction.connection.run(call.statement, call.values, Math.max(1, deadlineAt - clock.now()));
			served = true;
			if (answer.message === undefined) {
				return {...answerOpen(transaction), rows: answer.rows};
			}

			open.end(transaction, false);
			return createNotRunResponse(createRefusal(RefusalCode.StatementFailed, {
				reason: `${name} rejected the statement and the transaction was rolled back: ${answer.message}`,
				facts: {endpoint: name, term: transaction.term},
			}));
		} finally {
			slot.release(clock.now(), served);
		}
	};

	const commitOn = async (transaction: OpenTransaction, deadlineAt: number): Promise<OwnerResponse> => {
		const sentAt = clock.now();
		const answer = await transaction.connection.commit(Math.max(1, deadlineAt - sentAt));
		open.end(transaction, true);
		const {primary, term} = transaction;
		const owner = owners.getOwner(transaction.group.getGroup().cfg.name);
		if (!owner) {
			return refuseLost(transaction, new Error('the group is no longer looked after here'));
		}

		resolving++;
		try {
			return await owner.writes.complete({
				primary, term, answer, sentAt,
			}, deadlineAt);
		} finally {
			resolving--;
		}
	};

	const rollBackOn = async (transaction: OpenTransaction, deadlineAt: number): Promise<OwnerResponse> => {
		await transaction.connection.rollback(Math.max(1, deadlineAt - clock.now()));
		open.end(transaction, true);
		return answerOpen(transaction);
	};

	// A caller that disappears during a transaction would hold one of the few connections for ever. A lost connection counts
	// as in use until its transaction ends, and other callers of the primary would wait for it in vain.
	const endAbandoned = (now: number) => {
		for (const transaction of open.getAll()) {
			const isLost = !transaction.connection.usable;
			const isAbandoned = isLost || now - transaction.lastUsedAt > IDLE_TIMEOUT_MS || now - transaction.startedAt > MAX_DURATION_MS;
			if (isAbandoned && !transaction.busy) {
				open.end(transaction, false);
			}
		}
	};

	const sweepAbandoned = async () => {
		while (!stopping.signal.aborted) {
			endAbandoned(clock.now());
			await clock.sleep(SWEEP_INTERVAL_MS, stopping.signal);
		}
	};

	const transactions: Transactions = {
		begin: async call => owners.withOwner(call.group, async owner => openAt(owner, call, clock.now() + call.remainingMs)),
		run: async call => withTransaction(call.requestId, async transaction => runOn(transaction, call, clock.now() + call.remainingMs)),
		commit: async call => withTransaction(call.requestId, async transaction => commitOn(transaction, clock.now() + call.remainingMs)),
		rollback: async call => withTransaction(call.requestId, async transaction => rollBackOn(transaction, clock.now() + call.remainingMs)),
		getOpenCount: () => open.getAll().length + resolving,
		async start() {
			peers.handle('begin', transactions.begin);
			peers.handle('run', transactions.run);
			peers.handle('commit', transactions.commit);
			peers.handle('rollback', transactions.rollback);
			void sweepAbandoned();
		},
		async stop() {
			stopping.abort();
			for (const transaction of open.getAll()) {
				open.end(transaction, false);
			}
		},
	};
	return transactions;
}

function answerOpen(transaction: OpenTransaction): OwnerResponse {
	return {outcome: Outcome.Done, servedBy: transaction.primary.name, role: EndpointRole.Primary};
}

function refuseBusy(requestId: string): OwnerResponse {
	return createNotRunResponse(createRefusal(RefusalCode.TransactionBusy, {
		reason: 'a statement of this transaction is still running',
		facts: {requestId},
		retryAfterMs: 50,
	}));
}

function refuseEnded({requestId, primary, term}: OpenTransaction): OwnerResponse {
	return createNotRunResponse(createRefusal(RefusalCode.TransactionEnded, {
		reason: 'a transaction has ended under this id before',
		facts: {requestId, endpoint: primary.name, term},
	}));
}

function refuseNoPrimary(owner: GroupOwner): OwnerResponse {
	return createNotRunResponse(createRefusal(RefusalCode.NoPrimary, {
		reason: 'the group has no primary that could take the transaction',
		facts: {highestTerm: owner.parts.knowledge.highestTerm},
		retryAfterMs: 500,
	}));
}

function refuseLost(transaction: OpenTransaction, err: unknown): OwnerResponse {
	return createUnknownResponse(createRefusal(RefusalCode.EndpointSilent, {
		reason: `the connection of the transaction to ${transaction.primary.name} was lost`,
		facts: {endpoint: transaction.primary.name, term: transaction.term, cause: (err as Error).message},
	}));
}
