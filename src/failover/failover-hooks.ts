import type {Promotion} from './failover-parts.js';
import type {FailoverSettings} from './failover-settings.js';
import type {GroupFailover} from './group-failover.js';

/** Overrides of failover for simulated systems and benchmarks; a daemon registers none. */
export type FailoverHooks = {
	/** Settings that differ from the defaults. */
	readonly settings?: Partial<FailoverSettings>;
	/** Called after every change of primary that this host performed. */
	onPromoted?(promotion: Promotion): void;
	/** Wraps the failover that a group's owner uses. */
	wrap?(failover: GroupFailover): GroupFailover;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		failoverHooks: FailoverHooks;
	}
}
