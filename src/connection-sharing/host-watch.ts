import {isHostAlive} from '../membership/is-host-alive.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';

/** Watches other hosts by heartbeats, while something depends on them. */
export type HostWatch = {
	/** Notes that the host at `ip:port` has sent something. */
	noteHeard(address: string): void;
	/** Returns whether the host has missed a heartbeat and has not responded to one since. It is probed while this is asked. */
	isSilent(address: string): boolean;
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

/**
 * Time of silence after which a host is sent a heartbeat, and timeout for the heartbeat, in milliseconds. Together they are the 250 ms within which a waiting request leaves a
 * pool host that has failed; callers' requests queue for as little as 400 ms.
 */
const HEARTBEAT_INTERVAL_MS = 125;

/**
 * Minimum time between two heartbeats to different hosts on average, in milliseconds. A host of a large fleet may wait at hundreds of others at once, and heartbeats to all of them would take
 * more than the bytes that control may take; one to each in turn then takes longer to notice a failure.
 */
const MIN_SPACING_MS = 25;

/** First delay of a heartbeat to a silent host, in milliseconds; it doubles up to the maximum. */
const PROBE_DELAY_MS = 250;

/** Maximum delay of a heartbeat to a silent host, in milliseconds. */
const MAX_PROBE_DELAY_MS = 1000;

/** A silent host is no longer probed once nobody has asked about it for this long, in milliseconds: it may have been replaced. */
const PROBE_WHILE_ASKED_MS = 5000;

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
	/** Silent hosts, with the steady time at which somebody last asked about them. */
	const silent = new Map<string, number>();

	const getIntervalMs = () => Math.max(HEARTBEAT_INTERVAL_MS, hosts.size * MIN_SPACING_MS);

	/**
	 * Sends heartbeats to a silent host until it responds. Guards against requests that are sent to it from time to time to see whether it responds again: each of those that are sent together
	 * would lose the time of a heartbeat, and many have no more than that left.
	 */
	const probe = async (address: string) => {
		let delayMs = PROBE_DELAY_MS;
		while (clock.now() - silent.get(address)! < PROBE_WHILE_ASKED_MS) {
			await clock.sleep(delayMs);
			if (await isHostAlive(peers, address, HEARTBEAT_INTERVAL_MS)) {
				break;
			}

			delayMs = Math.min(MAX_PROBE_DELAY_MS, delayMs * 2);
		}

		silent.delete(address);
	};

	const noteSilent = (address: string) => {
		if (!silent.has(address)) {
			silent.set(address, clock.now());
			void probe(address);
		}
	};

	const endUnwanted = ({watches}: WatchedHost) => {
		for (const watch of watches) {
			if (watch.isWanted?.() === false) {
				watch.end(WatchEnd.Unwanted);
			}
		}
	};

	/** Ends the watches of a host that misses a heartbeat; one that has sent something during it, though not the heartbeat's response, is alive. */
	const checkHost = async (address: string, host: WatchedHost) => {
		const isSilent = () => clock.now() - host.heardAt >= getIntervalMs();
		if (host.watches.size === 0 || !isSilent()) {
			return;
		}

		if (await isHostAlive(peers, address, HEARTBEAT_INTERVAL_MS)) {
			host.heardAt = clock.now();
		} else if (isSilent()) {
			noteSilent(address);
			for (const watch of host.watches) {
				watch.end(WatchEnd.Silent);
			}
		}
	};

	const run = async (address: string, host: WatchedHost) => {
		while (host.watches.size > 0) {
			await clock.sleep(getIntervalMs());
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
		isSilent(address) {
			const isKnown = silent.has(address);
			if (isKnown) {
				silent.set(address, clock.now());
			}

			return isKnown;
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
