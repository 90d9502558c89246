import type {Log} from '../log/log.js';
import {isHostAlive} from '../membership/is-host-alive.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import type {UnresponsiveHosts} from './unresponsive-hosts.js';
import {LEADERSHIP_CALL_TIMEOUT_MS} from './leadership-calls.js';

/**
 * Marks hosts that have ended without notice, before a replacement of a primary has to wait for them.
 *
 * A dead host in the list would not acknowledge when a primary is replaced, so that every replacement would take longer by the duration of a primary
 * lease. Hosts receive the requests of those below them in the host tree and report upwards from whom they receive none; the host that reads the
 * store for all sends those hosts a request itself.
 */
export type HostLivenessCheck = {
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** What {@link createHostLivenessCheck} needs. */
export type HostLivenessCheckOptions = {
	readonly mirror: StoreMirror;
	readonly peers: Peers;
	readonly unresponsiveHosts: UnresponsiveHosts;
	readonly clock: Clock;
	readonly log: Log;
	readonly ownPeerAddress: string;
};

/** Interval of the check, in milliseconds. */
const POLL_INTERVAL_MS = 1000;

/** A host that has sent no request for this long is sent one, in milliseconds. Each host sends one per 700 ms, and most restarting hosts are back earlier. */
const HEARTBEAT_AFTER_MS = 3000;

/** Creates the check; it does nothing before it is started. */
export function createHostLivenessCheck({mirror, peers, unresponsiveHosts, clock, log: parentLog, ownPeerAddress}: HostLivenessCheckOptions): HostLivenessCheck {
	const log = parentLog.withPrefix('hosts: ');
	const stopping = createSleepAlarm();
	/** Addresses that did not respond at the previous check. */
	let lastUnresponsive: ReadonlySet<string> = new Set();

	peers.handle('host-alive', async () => ({alive: true as const}));

	const poll = async () => {
		const now = clock.now();
		if (!mirror.readsForAll) {
			return;
		}

		const silentAddresses = new Set(mirror.getSilentHosts(HEARTBEAT_AFTER_MS));
		const silentHosts = mirror.state.hosts.filter(({peerAddress, gone}) => !gone && peerAddress !== ownPeerAddress && silentAddresses.has(peerAddress));
		const previouslyUnresponsive = lastUnresponsive;
		const unresponsive = new Set<string>();
		await Promise.all(silentHosts.map(async host => {
			if (!await isHostAlive(peers, host.peerAddress, LEADERSHIP_CALL_TIMEOUT_MS)) {
				unresponsive.add(host.peerAddress);
			}
		}));
		lastUnresponsive = unresponsive;
		/*
		 * The smaller part of a partitioned fleet, or a host that was cut off itself, must not mark the hosts that continue without it: they would
		 * lose their leases and no longer count when hosts are asked who reaches a primary. A host that was cut off sends its requests over
		 * connections opened during the partition, which take 1 s to fail: so a host is marked only if two checks in a row got no response.
		 */
		if (unresponsive.size * 2 < mirror.state.hosts.length) {
			await Promise.all(silentHosts.filter(({peerAddress}) => unresponsive.has(peerAddress) && previouslyUnresponsive.has(peerAddress)).map(async host => {
				const lastPolledAt = mirror.getLastPolledAt(host.peerAddress);
				log.info('a host is silent', {host: host.name, heardAgoMs: lastPolledAt === undefined ? undefined : Math.round(now - lastPolledAt)});
				await unresponsiveHosts.mark(host);
			}));
		}

		await unresponsiveHosts.sweep();
	};

	const run = async () => {
		while (!stopping.aborted) {
			await clock.sleep(POLL_INTERVAL_MS, stopping);
			await poll().catch((err: unknown) => {
				log.error('a check of the hosts failed', {err});
			});
		}
	};

	return {
		async start() {
			void run();
		},
		async stop() {
			stopping.abort();
		},
	};
}
