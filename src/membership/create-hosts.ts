import type {Service} from '../kernel/service.js';
import type {Log} from '../log/log.js';
import type {Platform, PlatformHost} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {Hosts} from './hosts.js';
import {createLeavingHosts} from './leaving-hosts.js';
import {createUnreachableHosts} from './unreachable-hosts.js';

/** What the membership of hosts needs. */
export type HostsOptions = {
	/** This host as its settings describe it. */
	readonly self: PlatformHost;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** Minimum time between two reads of the list, in milliseconds. */
	readonly intervalMs?: number;
};

/** Membership with its life cycle. */
export type LiveHosts = Hosts & Required<Service> & {
	/** Time at which the list was last read, on the clock's `now`; undefined before the first read. */
	readonly listReadAt: number | undefined;
};

const DEFAULT_INTERVAL_MS = 2000;

/**
 * Reads per second that all proxies together spend on the list, however many they are.
 *
 * The platform allows 2,000 reads a second; the rest is left to watches of the configuration. 900 proxies read every 3 s, 9 every 2 s.
 * With 900 proxies and 3,300 endpoints the list is 494 KB of JSON, 29 KB compressed: 165 KB a second for each proxy if
 * it were sent in full each time. The platform's client must therefore request it compressed and only if it has changed,
 * and return the same array if it has not; about 1,000 changes a day then cost 0.4 KB a second.
 */
const FLEET_READS_PER_SECOND = 300;

/** Fraction of the interval by which a read may come earlier or later, so that the reads of hosts that start together spread out. */
const JITTER = 0.1;

const LIST_TIMEOUT_MS = 2000;

/** Returns the time between two reads of the list, in milliseconds, for a number of proxies; `fraction` from 0 to 1 determines the jitter. */
export function getPollIntervalMs(proxies: number, minMs: number, fraction: number): number {
	const intervalMs = Math.max(minMs, proxies / FLEET_READS_PER_SECOND * 1000);
	return intervalMs * (1 - JITTER + (2 * JITTER * fraction));
}

/** Creates the membership from the platform's list, which is read at an interval, and from what this host observes on its own links. */
export function createHosts(options: HostsOptions): LiveHosts {
	const {self, platform, clock, random} = options;
	const log = options.log.withPrefix('hosts: ');
	const unreachable = createUnreachableHosts();
	const leaving = createLeavingHosts();
	const stopped = new AbortController();
	let list: readonly PlatformHost[] | undefined;
	let proxies: readonly PlatformHost[] = [self];
	let leavingEndpoints: ReadonlySet<string> = new Set();
	let listReadAt: number | undefined;
	let isFailing = false;
	let usable: readonly PlatformHost[] | undefined;
	let usableUntil = 0;
	let polling: Promise<void> | undefined;

	const applyList = (next: readonly PlatformHost[]) => {
		const listed = next.filter(host => host.role === 'proxy');
		// A list without any proxy is a fault of the platform, since a proxy requests it: the last list remains in use.
		if (next === list || listed.length === 0) {
			return;
		}

		list = next;
		proxies = includeSelf(listed, self);
		leavingEndpoints = new Set(next.filter(host => host.role === 'endpoint' && host.state === 'leaving').map(host => host.address));
		unreachable.keepOnly(new Set(proxies.map(host => host.address)));
		usable = undefined;
	};

	const read = async () => {
		try {
			applyList(await platform.hosts(LIST_TIMEOUT_MS));
			listReadAt = clock.now();
			if (isFailing) {
				isFailing = false;
				log.info('the list can be read again');
			}
		} catch (err) {
			if (!isFailing) {
				isFailing = true;
				log.warn('the list cannot be read; the last one remains in use', {err: (err as Error).message});
			}
		}
	};

	const poll = async () => {
		while (!stopped.signal.aborted) {
			const ms = getPollIntervalMs(proxies.length, options.intervalMs ?? DEFAULT_INTERVAL_MS, random.fraction());
			await clock.sleep(ms, stopped.signal);
			await read();
		}
	};

	const isUsable = (host: PlatformHost, now: number) =>
		host.state === 'live' && !leaving.has(host.address, now) && (host.name === self.name || !unreachable.has(host.address, now));

	return {
		self,
		get listReadAt() {
			return listReadAt;
		},
		getAll: () => proxies,
		getUsable(now) {
			if (!usable || now >= usableUntil) {
				usable = proxies.filter(host => isUsable(host, now));
				usableUntil = Math.min(unreachable.getNextEnd(now), leaving.getNextEnd(now));
			}

			return usable;
		},
		reportUnreachable(address, now) {
			if (unreachable.add(address, now)) {
				usable = undefined;
			}
		},
		reportReachable(address) {
			if (unreachable.delete(address)) {
				usable = undefined;
			}
		},
		reportLeaving(address, now) {
			leaving.add(address, now);
			usable = undefined;
		},
		isEndpointLeaving: address => leavingEndpoints.has(address),
		async start() {
			await read();
			polling = poll();
		},
		async stop() {
			stopped.abort();
			await polling;
		},
	};
}

/** Adds this host to the list, which lags: it may lack this host, or hold the address of an earlier process of it. */
function includeSelf(listed: readonly PlatformHost[], self: PlatformHost): readonly PlatformHost[] {
	const own = listed.find(host => host.name === self.name);
	const others = listed.filter(host => host.name !== self.name);
	return [...others, {...self, state: own?.state ?? self.state}];
}
