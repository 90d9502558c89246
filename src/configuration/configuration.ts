import type {GroupConfig} from '../groups/group-config.js';

/** A group's configuration with its version in the platform's store. */
export type VersionedGroup = {
	readonly version: number;
	readonly cfg: GroupConfig;
	/** True once the group was deleted. The deleted entry is kept so that an older version cannot replace it. */
	readonly deleted?: boolean;
};

/**
 * The configuration in force on this host: for each group the highest version ever received, from the store
 * or from any peer, and never a lower one.
 */
export type Configuration = {
	/** Returns the group's configuration; undefined where none is known or the group was deleted. */
	getGroup(name: string): VersionedGroup | undefined;
	/** Like `getGroup`, but throws a ConfigurationError instead of returning undefined. */
	getGroupOrThrow(name: string): VersionedGroup;
	getGroups(): readonly VersionedGroup[];
	/** Puts a version in force unless it is superseded; returns whether it did. */
	offer(name: string, candidate: VersionedGroup): boolean;
	/** Calls the listener after every version that comes into force. */
	onChange(listener: (name: string, current: VersionedGroup) => void): void;
	/** True once the whole configuration was received at least once, from the store or a peer. */
	readonly loaded: boolean;
	/** The store revision up to which every change was received. */
	readonly revision: number;
	/** Returns the time since the store's last response, in milliseconds; Infinity before the first one. */
	getStoreSilenceMs(now: number): number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		configuration: Configuration;
	}
}
