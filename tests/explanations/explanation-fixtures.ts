import {createExplanations, type ExplanationsService} from '../../src/explanations/create-explanations.js';
import type {RefusalRecord} from '../../src/explanations/refusal-record.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {Hosts} from '../../src/membership/hosts.js';
import type {PeerCalls} from '../../src/peers/peer-calls.js';
import {throwPeerUnreachable} from '../../src/peers/peer-errors.js';
import type {PeerHandler, Peers} from '../../src/peers/peers.js';
import type {Platform, PlatformHost} from '../../src/object-store/platform.js';
import type {Random} from '../../src/random/random.js';
import {createRequestId} from '../../src/random/request-id.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryPlatform, type InMemoryPlatform} from '../../src/stand-ins/platform/in-memory-platform.js';
import {createObjectStore, type ObjectStore} from '../../src/stand-ins/platform/object-store.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

export const CURRENT_KEY = 'current key of thirty-two bytes!';
export const PREVIOUS_KEY = 'previous key, of thirty-two bytes';

/** Returns a proxy host with this number in its name and address. */
export function createHost(number: number): PlatformHost {
	return {
		name: `entry-${number}`, role: 'proxy', address: `10.1.0.${number}:7000`, availabilityZone: 'hall-a', state: 'live',
	};
}

/** Creates a host list in which every host is usable. */
export function createFixedHosts(self: PlatformHost, all: readonly PlatformHost[]): Hosts {
	return {
		self,
		getAll: () => all,
		getUsable: () => all,
		reportUnreachable() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		reportReachable() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		reportLeaving() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		isEndpointLeaving: () => false,
	};
}

/** Creates a network for peer calls within one process. Calls to a dead host fail as unreachable. */
export function createPeerNetwork() {
	const handlers = new Map<string, Map<string, unknown>>();
	const dead = new Set<string>();
	return {
		dead,
		createPeers(address: string): Peers {
			const own = new Map<string, unknown>();
			handlers.set(address, own);
			return {
				async call<K extends keyof PeerCalls>(to: string, kind: K, req: PeerCalls[K]['req']) {
					const handler = handlers.get(to)?.get(kind) as PeerHandler<K> | undefined;
					return handler && !dead.has(to) ? handler(req, {address}) : throwPeerUnreachable(to);
				},
				handle(kind, handler) {
					own.set(kind, handler);
				},
			};
		},
	};
}

/** The hosts of a test of explanations, with the clock, the platform and the random numbers that they share. */
export type ExplanationBench = {
	readonly clock: VirtualClock;
	readonly store: ObjectStore;
	readonly platform: InMemoryPlatform;
	readonly random: Random;
	/** One service per host, in the order of the hosts. */
	readonly hosts: readonly ExplanationsService[];
	/** Makes a host unreachable for its peers, and with it the records in its memory. */
	kill(index: number): void;
	createRecord(changes?: Partial<RefusalRecord>): RefusalRecord;
};

/** Creates hosts that share one platform. */
export function createExplanationBench(hostCount: number, platformOf?: (platform: Platform) => Platform): ExplanationBench {
	const clock = createVirtualClock();
	const random = createSeededRandom(7);
	const store = createObjectStore({clock});
	const platform = createInMemoryPlatform({store, clock});
	const network = createPeerNetwork();
	const all = Array.from({length: hostCount}, (_, index) => createHost(index + 1));
	const hosts = all.map(self => createExplanations({
		platform: platformOf?.(platform) ?? platform,
		peers: network.createPeers(self.address),
		hosts: createFixedHosts(self, all),
		clock,
		random,
		log: createSilentLog(),
		signingKeys: [CURRENT_KEY, PREVIOUS_KEY],
	}));
	return {
		clock,
		store,
		platform,
		random,
		hosts,
		kill(index) {
			network.dead.add(all[index]!.address);
		},
		createRecord: changes => createQueueFullRecord(createRequestId(clock.wall(), random), clock.wall(), changes),
	};
}

/** Returns the record of a refusal by an owner with a full queue. */
export function createQueueFullRecord(requestId: string, at: number, changes?: Partial<RefusalRecord>): RefusalRecord {
	return {
		code: 'queue-full',
		reason: 'all 200 places in the interactive queue of nights-a are taken',
		retryAfterMs: 1500,
		facts: {
			endpoint: 'nights-a', queued: 200, maxQueued: 200, running: 3, limit: 3, predictedWaitMs: 2400, serviceMs: 12,
		},
		requestId,
		group: 'nights',
		asked: 'read',
		class: 'interactive',
		sessionId: '5f0c2b9a',
		outcome: 'not-run',
		host: 'entry-1',
		at,
		configVersion: 42,
		...changes,
	};
}
