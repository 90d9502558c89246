import type {PlatformHost} from '../object-store/platform.js';

/** Which proxy hosts there are, from the platform's lagging list and from this host's own links. */
export type Hosts = {
	/** This host. */
	readonly self: PlatformHost;
	/** Every host on the last list seen, this one always among them. */
	getAll(): readonly PlatformHost[];
	/** Hosts that may be given work: live on the list and not found unreachable of late by this host. */
	getUsable(now: number): readonly PlatformHost[];
	/** Notes that a call to the host at that address failed to reach it. */
	reportUnreachable(address: string, now: number): void;
	/** Notes that the host at that address answered. */
	reportReachable(address: string): void;
	/** Notes that the proxy at that address said that it is stopping: it owns nothing from now on, until it is long gone. */
	reportLeaving(address: string, now: number): void;
	/** Tells whether the list calls the host of the database server at that address leaving. */
	isEndpointLeaving(address: string): boolean;
};

/** Ranks hosts as owners of groups. */
export type Owning = {
	/** The owners of a group in order of rank, `count` at most, spread over availability zones. */
	getOwners(group: string, count: number, now: number): readonly PlatformHost[];
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		hosts: Hosts;
		owning: Owning;
	}
}
