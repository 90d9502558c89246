import {createFailoverLease, type FailoverLease} from '../../src/leadership/failover-lease.js';
import {ORDER_TIMEOUT_MS, OrderOutcome} from '../../src/leadership/promotion-orders.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {MetadataStore} from '../../src/mirror/metadata-store.js';
import {createStoreMirror, type StoreMirror} from '../../src/mirror/store-mirror.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryMetadataStore} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createHostClock, type HostClock} from '../../src/stand-ins/proxies/host-clock.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {
	HOSTS, StoreFault, type LeaseSchedule, type LeaseStep,
} from './lease-schedule.js';

/** Result of a schedule of the failover lease. */
export type LeaseOutcome = {
	readonly violations: readonly string[];
	readonly figures: Record<'orders' | 'releases' | 'handOvers', number>;
};

type Order = {readonly holder: string; readonly token: number};

type Host = {
	readonly name: string;
	readonly clock: HostClock;
	readonly mirror: StoreMirror;
	readonly lease: FailoverLease;
	/** Set once the process has ended; nothing that it sends arrives afterwards. */
	ended: boolean;
};

/** Time after the last step in which what is under way ends, in milliseconds. */
const AFTERMATH_MS = 4000;

const FAULTS = {
	[StoreFault.None]: {},
	[StoreFault.Silent]: {silent: true},
	[StoreFault.Slow]: {responseMs: 350},
	[StoreFault.Late]: {loseShare: 0.5, lateMs: 4000},
} as const;

/** Never settles: an ended process receives no results. */
const NEVER = new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function

/** Plays a schedule on the failover lease of some hosts. Violations: two holders at once, or an order after one with a higher token. */
export async function playLeaseSchedule({seed, steps}: LeaseSchedule): Promise<LeaseOutcome> {
	const clock = createVirtualClock(undefined, {drainRounds: 1});
	const store = createInMemoryMetadataStore(clock, createSeededRandom(seed));
	const network = createPeerNetwork(clock);
	const violations: string[] = [];
	const orders: Order[] = [];
	const figures = {orders: 0, releases: 0, handOvers: 0};
	let lastReleasedBy: string | undefined;

	const createHost = (index: number, incarnation: number): Host => {
		const name = `entry-${index}`;
		const hostClock = createHostClock(clock);
		const host: Partial<Host> & {ended: boolean} = {name: `${name}/${incarnation}`, clock: hostClock, ended: false};
		const deliver = async <T>(promise: Promise<T>): Promise<T> => {
			try {
				return await promise;
			} finally {
				await hostClock.whenRunning();
				if (host.ended) {
					await NEVER;
				}
			}
		};

		const client = store.getClient(name);
		const delivered: MetadataStore = {
			getRevision: async timeoutMs => deliver(client.getRevision(timeoutMs)),
			readRouting: async timeoutMs => deliver(client.readRouting(timeoutMs)),
			listEndpoints: async timeoutMs => deliver(client.listEndpoints(timeoutMs)),
			listRecords: async (kind, timeoutMs) => deliver(client.listRecords(kind, timeoutMs)),
			putRecord: async (kind, record, timeoutMs) => deliver(client.putRecord(kind, record, timeoutMs)),
			deleteRecord: async (kind, record, version, timeoutMs) => deliver(client.deleteRecord(kind, record, version, timeoutMs)),
		};
		const peerAddress = `${name}-${incarnation}:7000`;
		const mirror = createStoreMirror({
			store: delivered,
			peers: network.addHost(peerAddress),
			clock: hostClock,
			elapsedClock: hostClock,
			log: createSilentLog(),
			host: {name, peerAddress, availabilityZone: 'z'},
			seeds: [],
			getChanging: () => [],
			getUnfenced: () => [],
			noteUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		void mirror.start();
		const lease = createFailoverLease({
			store: delivered, mirror, elapsedClock: hostClock, log: createSilentLog(), hostName: name, incarnation: String(incarnation),
		});
		return Object.assign(host, {mirror, lease}) as Host;
	};

	const hosts = Array.from({length: HOSTS}, (_, index) => createHost(index, 0));
	const incarnations = hosts.map(() => 0);

	const addViolation = (text: string) => {
		violations.push(`${Math.round(clock.now() % 1_000_000)}: ${text}`);
	};

	const checkHolders = () => {
		const holders = hosts.filter(({lease, ended}) => !ended && lease.getToken(0) !== undefined).map(({name, lease}) => `${name} with ${lease.getToken(0)}`);
		if (holders.length > 1) {
			addViolation(`two holders: ${holders.join(', ')}`);
		}
	};

	const noteOrder = (order: Order) => {
		const last = orders.at(-1);
		if (last && (order.token < last.token || (order.token === last.token && order.holder !== last.holder))) {
			addViolation(`the order of ${order.holder} with ${order.token} came after that of ${last.holder} with ${last.token}`);
		}

		if (last && last.holder !== order.holder && lastReleasedBy === last.holder) {
			figures.handOvers++;
		}

		orders.push(order);
		figures.orders++;
	};

	/** Gives an order as a replacement does. It is carried out although its sender is suspended meanwhile. */
	const giveOrder = async ({name, lease, clock: hostClock}: Host, {transitMs, isAnswered}: Extract<LeaseStep, {kind: 'order'}>) => {
		if (lease.getToken(ORDER_TIMEOUT_MS) === undefined && !await lease.take()) {
			return;
		}

		await lease.giveOrder(ORDER_TIMEOUT_MS, async token => {
			await clock.sleep(transitMs);
			noteOrder({holder: name, token});
			await clock.sleep(isAnswered ? 2 : ORDER_TIMEOUT_MS - transitMs);
			await hostClock.whenRunning();
			return isAnswered ? OrderOutcome.Accepted : OrderOutcome.Unknown;
		});
	};

	const restart = (index: number) => {
		const former = hosts[index]!;
		former.ended = true;
		former.clock.resume();
		void former.mirror.stop();
		incarnations[index]!++;
		hosts[index] = createHost(index, incarnations[index]!);
	};

	/** Has the other hosts read the store, as the notification of a release does. */
	const notifyOthers = (sender: Host) => {
		for (const other of hosts) {
			if (other !== sender) {
				void other.mirror.confirm();
			}
		}
	};

	const perform = (step: LeaseStep) => {
		const host = hosts[step.host]!;
		switch (step.kind) {
			case 'take': {
				void host.lease.take();
				break;
			}

			case 'release': {
				void host.lease.release().then(isReleased => {
					if (isReleased) {
						figures.releases++;
						lastReleasedBy = host.name;
						notifyOthers(host);
					}
				});
				break;
			}

			case 'order': {
				void giveOrder(host, step);
				break;
			}

			case 'close': {
				host.lease.close();
				break;
			}

			case 'suspend': {
				host.clock.suspend();
				break;
			}

			case 'resume': {
				host.clock.resume();
				break;
			}

			case 'restart': {
				restart(step.host);
				break;
			}

			case 'store': {
				store.setFaults(`entry-${step.host}`, FAULTS[step.fault]);
				break;
			}
		}
	};

	await clock.advance(50);
	for (const step of steps) {
		perform(step);
		checkHolders();
		await clock.advance(step.ms);
		checkHolders();
	}

	for (const host of hosts) {
		host.clock.resume();
	}

	await clock.advance(AFTERMATH_MS);
	checkHolders();
	for (const {mirror} of hosts) {
		void mirror.stop();
	}

	return {violations, figures};
}
