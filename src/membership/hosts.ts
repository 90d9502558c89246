import type {PlatformHost} from '../object-store/platform.js';

/** The proxy hosts, as known from the platform's lagging list and from this host's own links. */
export type Hosts = {
	/** This host. */
	readonly self: PlatformHost;
	/** Returns every host on the last list read, always including this one. */
	getAll(): readonly PlatformHost[];
	/** Returns the hosts that may be given work: live on the list, not stopping, and not recently found unreachable by this host. */
	getUsable(now: number): readonly PlatformHost[];
	/** Records that a call failed to reach the host at that address. */
	reportUnreachable(address: string, now: number): void;
	/** Records that the host at that address responded. */
	reportReachable(address: string): void;
	/** Records that the proxy at that address reported that it is stopping: it is not usable as an owner until that report expires. */
	reportLeaving(address: string, now: number): void;
	/** Returns whether the list has the host of the database server at that address as leaving. */
	isEndpointLeaving(address: string): boolean;
};

/** Selects hosts as owners of groups. */
export type Owning = {
	/** Returns the owners of a group in order of rank, at most `count`, spread over availability zones. */
	getOwners(group: string, count: number, now: number): readonly PlatformHost[];
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		hosts: Hosts;
		owning: Owning;
	}
}
