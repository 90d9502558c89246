import {isHostAlive} from '../membership/is-host-alive.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';

/** Watches other hosts by heartbeats, while something depends on them. */
export type HostWatch = {
	/** Notes that the host at `ip:port` has sent something. */
	noteHeard(address: string): void;
	/**
	 * Resolves with the result, or rejects as it does; resolves with undefined earlier where the host misses a heartbeat, or `isWanted` returns false at one.
	 * `onEnded` is called then.
	 */
	watch<T>(address: string, result: Promise<T>, options: WatchOptions): Promise<T | undefined>;
};

/** Options of one watch. */
export type WatchOptions = {
	/** Returns whether somebody still waits for the result; by default always. */
	isWanted?(): boolean;
	/** Called where the watch ends before there is a result. */
	onEnded(reason: WatchEnd): void;
};

/** Reasons for which a watch ends before there is a result. */
export const WatchEnd = {
	/** The host missed a heartbeat. */
	Silent: 'silent',
	/** Nobody waits for the result any more. */
	Unwanted: 'unwanted',
} as const;

/** One of the reasons in {@link WatchEnd}. */
export type WatchEnd = typeof WatchEnd[keyof typeof WatchEnd];

/** Time of silence after which a host is sent a heartbeat, and interval of the checks, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 250;

/** Timeout for a heartbeat, in milliseconds: ten times the round trip between regions. */
const HEARTBEAT_TIMEOUT_MS = 150;

type Watch = Pick<WatchOptions, 'isWanted'> & {
	end(reason: WatchEnd): void;
};

type WatchedHost = {
	readonly watches: Set<Watch>;
	/** Steady time at which the host last sent something, at first that of the first watch. */
	heardAt: number;
};

/**
 * Creates a watch of no host.
 *
 * There is one loop for each host that something depends on, whatever the number of requests, and it ends at its first check without any: a request that is answered soon
 * costs no timer of its own.
 */
export function createHostWatch({peers, clock}: {readonly peers: Peers; readonly clock: Clock}): HostWatch {
	const hosts = new Map<string, WatchedHost>();

	const endUnwanted = ({watches}: WatchedHost) => {
		for (const watch of watches) {
			if (watch.isWanted?.() === false) {
				watch.end(WatchEnd.Unwanted);
			}
		}
	};

	/** Ends the watches of a host that misses a heartbeat; one that has sent something during it, though not the heartbeat's response, is alive. */
	const checkHost = async (address: string, host: WatchedHost) => {
		const isSilent = () => clock.now() - host.heardAt >= HEARTBEAT_INTERVAL_MS;
		if (host.watches.size === 0 || !isSilent()) {
			return;
		}

		if (await isHostAlive(peers, address, HEARTBEAT_TIMEOUT_MS)) {
			host.heardAt = clock.now();
		} else if (isSilent()) {
			for (const watch of host.watches) {
				watch.end(WatchEnd.Silent);
			}
		}
	};

	const run = async (address: string, host: WatchedHost) => {
		while (host.watches.size > 0) {
			await clock.sleep(HEARTBEAT_INTERVAL_MS);
			endUnwanted(host);
			await checkHost(address, host);
		}

		hosts.delete(address);
	};

	const getHost = (address: string) => {
		const known = hosts.get(address);
		if (known) {
			return known;
		}

		const host: WatchedHost = {watches: new Set(), heardAt: clock.now()};
		hosts.set(address, host);
		return host;
	};

	return {
		noteHeard(address) {
			const host = hosts.get(address);
			if (host) {
				host.heardAt = clock.now();
			}
		},
		async watch<T>(address: string, result: Promise<T>, {isWanted, onEnded}: WatchOptions) {
			const isFirst = !hosts.has(address);
			const host = getHost(address);
			let watch!: Watch;
			const ended = new Promise<undefined>(resolve => {
				watch = {
					isWanted,
					end(reason) {
						host.watches.delete(watch);
						onEnded(reason);
						resolve(undefined);
					},
				};
			});
			host.watches.add(watch);
			if (isFirst) {
				void run(address, host);
			}

			try {
				return await Promise.race([result, ended]);
			} finally {
				host.watches.delete(watch);
			}
		},
	};
}
