import {throwStatementError} from './database-errors.js';

/** Which open transaction has changed which row. */
export type RowLocks = {
	/** Takes a row for a transaction; throws DatabaseError where another has it. */
	take(table: string, rowId: number, owner: Record<string, unknown>): void;
	release(owner: Record<string, unknown>): void;
};

/** Creates the locks of a server without transactions. */
export function createRowLocks(): RowLocks {
	const owners = new Map<string, Record<string, unknown>>();
	const taken = new Map<Record<string, unknown>, string[]>();

	return {
		take(table, rowId, owner) {
			const lock = `${table}/${rowId}`;
			const holder = owners.get(lock);
			if (holder === owner) {
				return;
			}

			if (holder) {
				throwStatementError('could not serialize access due to concurrent update');
			}

			owners.set(lock, owner);
			const locks = taken.get(owner);
			if (locks) {
				locks.push(lock);
			} else {
				taken.set(owner, [lock]);
			}
		},
		release(owner) {
			for (const lock of taken.get(owner) ?? []) {
				owners.delete(lock);
			}

			taken.delete(owner);
		},
	};
}
