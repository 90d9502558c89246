import type {KeyedWrite} from '../../endpoints/endpoint.js';
import type {DatabaseState} from './database-state.js';
import {createDatabaseTransaction, type DatabaseTransaction} from './database-transaction.js';
import type {ServerMemory} from './server-memory.js';

/** The request key of a transaction, with its digest and term. */
export type TransactionKey = Omit<KeyedWrite, 'statement' | 'values'>;

/** A transaction that keeps its request key in flight until it ends. */
export type KeyedTransaction = DatabaseTransaction & {readonly key: TransactionKey};

/** Opens a transaction and marks its key as in flight. */
export function createKeyedTransaction(key: TransactionKey, state: DatabaseState, memory: ServerMemory): KeyedTransaction {
	const {locks, keysInFlight} = memory;
	const transaction = createDatabaseTransaction(state, locks);
	let wakeWaiters!: () => void;
	keysInFlight.set(key.requestId, new Promise(resolve => {
		wakeWaiters = resolve;
	}));

	return {
		key,
		get failed() {
			return transaction.failed;
		},
		run: transaction.run,
		getChanges: transaction.getChanges,
		end() {
			transaction.end();
			keysInFlight.delete(key.requestId);
			wakeWaiters();
		},
	};
}
