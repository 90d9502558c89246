import {throwStatementError} from './database-errors.js';

/** Locks of rows, held by the open transactions that have changed them. */
export type RowLocks = {
	/** Locks a row for a transaction; throws DatabaseError if another transaction holds the lock. */
	acquire(table: string, rowId: number, owner: Record<string, unknown>): void;
	/** Releases all locks of a transaction. */
	release(owner: Record<string, unknown>): void;
};

/** Creates an empty set of locks. */
export function createRowLocks(): RowLocks {
	const ownersByLock = new Map<string, Record<string, unknown>>();
	const locksByOwner = new Map<Record<string, unknown>, string[]>();

	return {
		acquire(table, rowId, owner) {
			const lock = `${table}/${rowId}`;
			const holder = ownersByLock.get(lock);
			if (holder === owner) {
				return;
			}

			if (holder) {
				throwStatementError('could not serialize access due to concurrent update');
			}

			ownersByLock.set(lock, owner);
			const locks = locksByOwner.get(owner);
			if (locks) {
				locks.push(lock);
			} else {
				locksByOwner.set(owner, [lock]);
			}
		},
		release(owner) {
			for (const lock of locksByOwner.get(owner) ?? []) {
				ownersByLock.delete(lock);
			}

			locksByOwner.delete(owner);
		},
	};
}
