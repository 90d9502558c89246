import {createRowLocks, type RowLocks} from './row-locks.js';
import {createServiceSlots, type ServiceSlots} from './service-slots.js';

/** What a server loses when it is killed. */
export type ServerMemory = {
	readonly slots: ServiceSlots;
	readonly locks: RowLocks;
	/** Request keys inserted by transactions that have not ended; each promise resolves at the end. */
	readonly keysInFlight: Map<string, Promise<void>>;
};

/** Creates the memory of a server that just started. */
export function createServerMemory(slots: number): ServerMemory {
	return {slots: createServiceSlots(slots), locks: createRowLocks(), keysInFlight: new Map()};
}
