import type {Promotion} from './failover-parts.js';
import type {FailoverSettings} from './failover-settings.js';
import type {GroupFailover} from './group-failover.js';

/** What a simulated system or a benchmark puts in place of the failover that ships; a daemon registers none. */
export type FailoverHooks = {
	/** Settings that differ from those that ship. */
	readonly settings?: Partial<FailoverSettings>;
	/** Told of every change of primary that this host brought about. */
	onPromoted?(promotion: Promotion): void;
	/** Puts something between a group's owner and its failover. */
	wrap?(failover: GroupFailover): GroupFailover;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		failoverHooks: FailoverHooks;
	}
}
