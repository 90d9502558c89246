import type {EndpointConnection} from '../endpoints/endpoint.js';
import type {EndpointConfig} from '../groups/group-config.js';
import type {EndpointParts, GroupParts} from '../owners/group-parts.js';

/** A transaction whose connection this host holds, from BEGIN to its end. */
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
	/** Takes the transaction off the endpoint's running work. */
	endWork(): void;
};

/** The transactions open on this host. */
export type OpenTransactions = {
	get(requestId: string): OpenTransaction | undefined;
	add(transaction: OpenTransaction): void;
	/** Ends a transaction: its connection goes back to the pool where `clean`, and is destroyed otherwise. */
	end(transaction: OpenTransaction, clean: boolean): void;
	getAll(): readonly OpenTransaction[];
};

/** Creates an empty set. */
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

			// Guards against statements of two transactions on one connection: unless the server has said that the
			// transaction ended, the connection still belongs to it, and the next borrower would run inside it.
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
