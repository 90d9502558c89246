import {createRowLocks, type RowLocks} from './row-locks.js';
import {createServiceSlots, type ServiceSlots} from './service-slots.js';

/** The volatile state of a server, which is lost when it is killed. */
export type ServerMemory = {
	readonly slots: ServiceSlots;
	readonly locks: RowLocks;
	/** Request keys of the open transactions; each promise resolves when its transaction ends. */
	readonly keysInFlight: Map<string, Promise<void>>;
};

/** Creates the volatile state of a server that has just started. */
export function createServerMemory(slots: number): ServerMemory {
	return {slots: createServiceSlots(slots), locks: createRowLocks(), keysInFlight: new Map()};
}
