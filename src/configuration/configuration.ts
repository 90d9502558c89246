import type {GroupConfig} from '../groups/group-config.js';

/** A group's configuration with the platform version that carries it. */
export type VersionedGroup = {
	readonly version: number;
	readonly cfg: GroupConfig;
	/** True once the group was deleted; kept so that an older version cannot come back. */
	readonly deleted?: boolean;
};

/**
 * The configuration this host has in force: for each group the highest version ever seen, from the store
 * or from any peer, and never a lower one.
 */
export type Configuration = {
	/** The group's configuration, undefined where none is known or it was deleted. */
	getGroup(name: string): VersionedGroup | undefined;
	getGroupOrThrow(name: string): VersionedGroup;
	getGroups(): readonly VersionedGroup[];
	/** Takes a version in force unless a higher one is; tells whether it was taken. */
	offer(name: string, candidate: VersionedGroup): boolean;
	/** Calls back after every version taken in force. */
	onChange(listener: (name: string, current: VersionedGroup) => void): void;
	/** True once the store or a peer has told the whole configuration at least once. */
	readonly loaded: boolean;
	/** Highest store revision seen. */
	readonly revision: number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		configuration: Configuration;
	}
}
