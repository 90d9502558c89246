import type {Configuration} from '../../src/configuration/configuration.js';
import {groupConfigSchema} from '../../src/groups/group-config.js';
import type {PeerCalls} from '../../src/peers/peer-calls.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import type {Peers} from '../../src/peers/peers.js';
import type {PlatformHost} from '../../src/object-store/platform.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createDatabaseGroup} from '../../src/stand-ins/database/database-group.js';
import type {DatabaseServer} from '../../src/stand-ins/database/database-server.js';
import {createInMemoryEndpoints} from '../../src/stand-ins/database/in-memory-endpoints.js';
import type {Link} from '../../src/stand-ins/database/link-faults.js';
import type {Clock} from '../../src/time/clock.js';
import {withinMs} from '../../src/time/deadline.js';
import {createPausableClock} from '../failover/pausable-clock.js';
import {createCheckedProxy, type CheckedProxy} from './checked-proxy.js';
import type {GuardBreak} from './guard-breaks.js';
import {createHistory, TABLE, type History} from './history.js';
import {PROXIES, SERVERS} from './schedule.js';
import {createScheduleClock, type ScheduleClock} from './schedule-clock.js';

/** Name of the only group. */
export const GROUP = 'clinics';

/** The simulated system: three servers, three proxies, and the history of the answers to callers. */
export type World = {
	readonly clock: ScheduleClock;
	readonly servers: readonly DatabaseServer[];
	readonly history: History;
	getProxy(index: number): CheckedProxy;
	/** Ends a proxy without notice, and starts a new one without any state in its place. */
	replaceProxy(index: number): void;
	getLink(proxy: number, server: number): Link;
	getHighestTerm(): number;
	/** Source of the random part of request ids. */
	readonly random: ReturnType<typeof createSeededRandom>;
	stop(): void;
};

/** Options of {@link createWorld}. */
export type WorldOptions = {
	readonly seed: number;
	readonly jitterMs: number;
	readonly guardBreak?: GuardBreak;
};

type ProxySlot = {
	readonly proxy: CheckedProxy;
	getLink(address: string): Link;
};

const cfg = groupConfigSchema.parse({
	name: GROUP,
	owners: PROXIES,
	endpoints: Array.from({length: SERVERS}, (_, index) => ({
		name: `server-${index}`, address: `10.1.0.${index}:5432`, availabilityZone: 'a', connections: 500, slots: 3,
	})),
});

const hostList: readonly PlatformHost[] = Array.from({length: PROXIES}, (_, index) => ({
	name: `proxy-${index}`, role: 'proxy', address: `10.0.0.${index}:7000`, availabilityZone: 'a', state: 'live',
}));

const versioned = {version: 1, cfg};

const configuration: Configuration = {
	getGroup: name => name === GROUP ? versioned : undefined,
	getGroupOrThrow: () => versioned,
	getGroups: () => [versioned],
	offer: () => false,
	onChange() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	loaded: true,
	getStoreSilenceMs: () => 0,
	revision: 1,
};

/** Creates a world in which every replica follows the first server and no proxy has any status yet. */
export function createWorld({seed, jitterMs, guardBreak}: WorldOptions): World {
	const clock = createScheduleClock();
	const random = createSeededRandom(seed);
	const history = createHistory();
	const group = createDatabaseGroup({
		addresses: cfg.endpoints.map(({address}) => address), clock, random: createSeededRandom(seed + 1), serverParameters: {connections: 500},
	});
	const {servers} = group;
	servers[0]!.member.append({changes: [{kind: 'create', table: TABLE, columns: ['id']}]});
	for (const server of servers) {
		watchPromotions(server, history);
	}

	const proxySlots: ProxySlot[] = [];

	const createPeers = (sender: Clock): Peers => ({
		handle() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		async call<K extends keyof PeerCalls>(address: string, kind: K, req: PeerCalls[K]['req'], timeoutMs: number) {
			const target = hostList.findIndex(host => host.address === address);
			const answer = await withinMs(sender, timeoutMs, (async () => {
				await sender.sleep(1 + (random.fraction() * jitterMs));
				const {owners} = proxySlots[target]!.proxy;
				const work = kind === 'execute'
					? owners.execute(req as PeerCalls['execute']['req'])
					: owners.resolve(req as PeerCalls['resolve']['req']);
				const done = await work;
				await sender.sleep(1 + (random.fraction() * jitterMs));
				return done;
			})());
			return answer.timedOut ? throwPeerSilent(address, kind) : answer.value;
		},
	});

	const createProxySlot = (index: number): ProxySlot => {
		const own = createPausableClock(clock);
		// On the way to a server, only packets sleep without a signal, so only they are delayed at random.
		const wire: Clock = {
			...own,
			sleep: async (ms, signal) => own.sleep(signal ? ms : ms + (random.fraction() * jitterMs), signal),
		};
		const host = hostList[index]!;
		const endpoints = createInMemoryEndpoints(servers, {clock: wire, latencyMs: 1, host: host.name});
		const proxy = createCheckedProxy({
			group: GROUP,
			host,
			clock: own,
			random,
			configuration,
			endpoints,
			hosts: {
				self: host,
				getAll: () => hostList,
				getUsable: () => hostList,
				reportUnreachable() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				reportReachable() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				reportLeaving() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				isEndpointLeaving: () => false,
			},
			owning: {getOwners: () => hostList},
			peers: createPeers(own),
			guardBreak,
		});
		return {proxy, getLink: address => endpoints.getLink(address)};
	};

	for (const index of hostList.keys()) {
		proxySlots.push(createProxySlot(index));
	}

	return {
		clock,
		servers,
		history,
		random,
		getProxy: index => proxySlots[index]!.proxy,
		replaceProxy(index) {
			const old = proxySlots[index]!.proxy;
			old.clock.pause();
			for (const server of servers) {
				server.silenceConnections(old.host.name);
			}

			proxySlots[index] = createProxySlot(index);
			void proxySlots[index].proxy.checkStatuses();
		},
		getLink: (proxy, server) => proxySlots[proxy]!.getLink(servers[server]!.address),
		getHighestTerm: () => Math.max(...servers.map(({member}) => member.getStatus().term)),
		stop() {
			group.stop();
		},
	};
}

/** Records every server that becomes primary in the history, with the log at the start of its term. */
function watchPromotions({member}: DatabaseServer, history: History): void {
	const promote = member.promote.bind(member);
	member.promote = term => {
		const wasPrimary = member.isPrimaryAt(term);
		const answer = promote(term);
		if (answer.granted && !wasPrimary) {
			history.recordPromotion(term, member.log);
		}

		return answer;
	};
}
