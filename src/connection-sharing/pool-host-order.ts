import type {HostRecord} from '../leadership/leadership-record.js';

/** Decides in which order the pool hosts of one endpoint are asked. */
export interface PoolHostOrder {
	/** Returns the `ip:port` of the pool hosts to ask, in order. `hosts` is the same array until the pool hosts change. */
	getAddresses(hosts: readonly HostRecord[], workspace: string | undefined, now: number): readonly string[];
}
