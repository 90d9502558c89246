import type {EndpointConnection} from '../endpoints/endpoint.js';
import type {EndpointConfig} from '../groups/group-config.js';
import type {EndpointParts, GroupParts} from '../owners/group-parts.js';

/** A transaction whose connection this host holds from `BEGIN` to its end. */
export type OpenTransaction = {
	readonly requestId: string;
	readonly group: GroupParts;
	readonly primary: EndpointConfig;
	readonly parts: EndpointParts;
	/** Term of the primary when the transaction began. */
	readonly term: number;
	readonly connection: EndpointConnection;
	readonly startedAt: number;
	lastUsedAt: number;
	/** True while a statement is in flight. */
	busy: boolean;
	/** Removes the transaction from the endpoint's running work. */
	endWork(): void;
};

/** The open transactions of this host. */
export type OpenTransactions = {
	get(requestId: string): OpenTransaction | undefined;
	add(transaction: OpenTransaction): void;
	/** Ends a transaction and releases its connection to the pool; the connection is destroyed first unless `clean`. */
	end(transaction: OpenTransaction, clean: boolean): void;
	getAll(): readonly OpenTransaction[];
};

/** Creates an empty set of open transactions. */
export function createOpenTransactions(): OpenTransactions {
	const open = new Map<string, OpenTransaction>();

	return {
		get: requestId => open.get(requestId),
		add(transaction) {
			open.set(transaction.requestId, transaction);
		},
		end(transaction, clean) {
			if (!open.delete(transaction.requestId)) {
				return;
			}

			// Unless the server confirmed that the transaction ended, it may still be open on this connection, and statements of
			// the next user of the connection would run inside it.
			if (!clean) {
				transaction.connection.destroy();
			}

			transaction.endWork();
			transaction.parts.pool.release(transaction.connection);
			transaction.group.writeGate.leave();
		},
		getAll: () => [...open.values()],
	};
}
