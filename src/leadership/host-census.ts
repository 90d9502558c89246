import type {Log} from '../log/log.js';
import {isHostAlive} from '../membership/is-host-alive.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import type {GoneHosts} from './gone-hosts.js';
import {LEAD_CALL_TIMEOUT_MS} from './lead-calls.js';

/**
 * Marks hosts that have ended without a word, in calm times.
 *
 * Guards against a dead host in the list, which would not acknowledge when a primary is replaced, so that every replacement would take longer by
 * the time that evidence lasts. Hosts hear the questions of those below them in the tree and tell upwards whom they do not hear; the host that
 * reads the store for all asks those itself.
 */
export type HostCensus = {
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** What the census needs. */
export type HostCensusOptions = {
	readonly mirror: StoreMirror;
	readonly peers: Peers;
	readonly gone: GoneHosts;
	readonly clock: Clock;
	readonly log: Log;
	readonly ownPeerAddress: string;
};

/** How often it is looked who was heard, in milliseconds. */
const LOOK_MS = 1000;

/** A host that asked nothing for so long is asked itself, in milliseconds; each asks once in 700 ms. Most that restart are back before. */
const QUIET_MS = 3000;

/** Creates the census. */
export function createHostCensus({mirror, peers, gone, clock, log: parentLog, ownPeerAddress}: HostCensusOptions): HostCensus {
	const log = parentLog.part('hosts: ');
	const stopping = createSleepAlarm();
	/** Addresses that did not answer at the last look. */
	let unanswered: ReadonlySet<string> = new Set();

	peers.handle('host-alive', async () => ({alive: true as const}));

	const look = async () => {
		const now = clock.now();
		if (!mirror.readsForAll) {
			return;
		}

		const unheard = new Set(mirror.getUnheard(QUIET_MS));
		const quiet = mirror.state.hosts.filter(({peerAddress, gone: isGone}) => !isGone && peerAddress !== ownPeerAddress && unheard.has(peerAddress));
		const before = unanswered;
		const silent = new Set<string>();
		await Promise.all(quiet.map(async host => {
			if (!await isHostAlive(peers, host.peerAddress, LEAD_CALL_TIMEOUT_MS)) {
				silent.add(host.peerAddress);
			}
		}));
		unanswered = silent;
		/*
		 * Guards against the smaller part of a split, or a host that was cut off itself: it would mark those that go on without it, who
		 * lose their evidence by that and are no longer counted when it asks who reaches a primary. One that was cut off asks over links
		 * opened in the cut, which take 1 s to fail: so a host is marked that two looks in a row did not find.
		 */
		if (silent.size * 2 < mirror.state.hosts.length) {
			await Promise.all(quiet.filter(({peerAddress}) => silent.has(peerAddress) && before.has(peerAddress)).map(async host => {
				const heardAt = mirror.getHeardAt(host.peerAddress);
				log.info('a host is silent', {host: host.name, heardAgoMs: heardAt === undefined ? undefined : Math.round(now - heardAt)});
				await gone.markGone(host);
			}));
		}

		await gone.sweep();
	};

	const run = async () => {
		while (!stopping.aborted) {
			await clock.sleep(LOOK_MS, stopping);
			await look().catch((err: unknown) => {
				log.error('a look at the hosts failed', {err});
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
