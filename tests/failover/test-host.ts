import {type EndpointConnection, type EndpointStatus, KeyedWriteResult} from '../../src/endpoints/endpoint.js';
import {createGroupFailover, type ObservableGroupFailover} from '../../src/failover/create-group-failover.js';
import type {Promotion} from '../../src/failover/failover-parts.js';
import {createFailoverPeers} from '../../src/failover/failover-peers.js';
import {gatherAnswers} from '../../src/failover/gather-answers.js';
import {createGroupKnowledge} from '../../src/groups/create-group-knowledge.js';
import {getMajority} from '../../src/groups/group-config.js';
import type {GroupKnowledge} from '../../src/groups/group-knowledge.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createHosts} from '../../src/membership/create-hosts.js';
import {createOwning} from '../../src/membership/create-owning.js';
import {createRequestId} from '../../src/random/request-id.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryEndpoints, type InMemoryEndpoints} from '../../src/stand-ins/database/in-memory-endpoints.js';
import {createInMemoryPlatform, type InMemoryPlatform} from '../../src/stand-ins/platform/in-memory-platform.js';
import {holdsLogPosition} from '../../src/terms/log-position.js';
import type {FailoverBench} from './failover-bench.js';
import {createPausableClock} from './pausable-clock.js';

/** One proxy host of the group, with the parts of an owner that its failover needs. */
export type TestHost = {
	readonly name: string;
	readonly address: string;
	/** Rank among the group's owners, from 0; Infinity for a host that is not an owner. */
	readonly rank: number;
	readonly knowledge: GroupKnowledge;
	readonly failover: ObservableGroupFailover;
	readonly endpoints: InMemoryEndpoints;
	readonly platform: InMemoryPlatform;
	readonly promotions: Promotion[];
	/** Writes at the primary this host knows; resolves true only once a majority confirmed the write under its term. */
	write(timeoutMs?: number): Promise<boolean>;
	/** Returns whether writes are held on this host. */
	isHeld(): boolean;
	/** Pauses the process and resumes it, as garbage collection does: timers fire before answers are read. */
	pause(ms: number): Promise<void>;
	pauseNow(): void;
	resume(): Promise<void>;
	stop(): Promise<void>;
};

const CONNECT_MS = 150;

/** Creates the control connections of one host: one per server, reused while usable, with one exchange at a time. */
function createControl(endpoints: InMemoryEndpoints, getAddress: (endpoint: string) => string) {
	const connections = new Map<string, EndpointConnection>();
	const queues = new Map<string, Promise<unknown>>();

	const getConnection = async (endpoint: string) => {
		const existing = connections.get(endpoint);
		if (existing?.usable) {
			return existing;
		}

		const opened = await endpoints.getEndpoint(getAddress(endpoint)).connect(CONNECT_MS);
		connections.set(endpoint, opened);
		return opened;
	};

	return async <T>(endpoint: string, exchange: (connection: EndpointConnection) => Promise<T>): Promise<T> => {
		const before = queues.get(endpoint) ?? Promise.resolve();
		const run = before.catch(() => undefined).then(async () => exchange(await getConnection(endpoint)));
		queues.set(endpoint, run);
		return run;
	};
}

/** Creates the gate that counts the writes in flight on one host and holds new ones. */
function createWriteGate() {
	let holds = 0;
	let inFlight = 0;
	const isHeld = () => holds > 0;
	const isBusy = () => inFlight > 0;
	const waiting: Array<() => void> = [];
	const resolveWaiting = () => {
		for (const wake of waiting.splice(0)) {
			wake();
		}
	};

	const change = async () => new Promise<void>(resolve => {
		waiting.push(resolve);
	});

	return {
		isHeld,
		async hold() {
			holds++;
			while (isBusy()) {
				await change();
			}

			return () => {
				holds--;
				resolveWaiting();
			};
		},
		async pass<T>(work: () => Promise<T>): Promise<T> {
			while (isHeld()) {
				await change();
			}

			inFlight++;
			try {
				return await work();
			} finally {
				inFlight--;
				resolveWaiting();
			}
		},
	};
}

/** Starts a host. */
export async function createTestHost(bench: FailoverBench, index: number): Promise<TestHost> {
	const self = bench.proxies[index]!;
	const {name, address} = self;
	const clock = createPausableClock(bench.clock);
	const random = createSeededRandom(bench.seed + index);
	const log = createSilentLog();
	const peers = bench.network.addHost(address);
	const platform = createInMemoryPlatform({store: bench.store, clock, sharedFaultInjector: bench.platformFaultInjector});
	const hosts = createHosts({
		self, platform, clock, random, log,
	});
	await hosts.start();
	const owning = createOwning({hosts});
	const endpoints = createInMemoryEndpoints(bench.servers, {clock, latencyMs: bench.latencyMs, host: name});
	const {settings} = bench;
	const failoverPeers = createFailoverPeers({
		peers, endpoints, clock, settings,
	});
	const getGroup = () => bench.group;
	const getAddress = (endpoint: string) => bench.group.cfg.endpoints.find(each => each.name === endpoint)!.address;
	const knowledge = createGroupKnowledge({getGroup});
	const gate = createWriteGate();
	const promotions: Promotion[] = [];
	const failover = createGroupFailover({
		context: {
			getGroup, knowledge, control: createControl(endpoints, getAddress), holdWrites: async () => gate.hold(),
		},
		clock,
		random,
		log: bench.log ?? log,
		platform,
		failoverPeers,
		hosts,
		owning,
		settings,
		onPromoted(promotion) {
			promotions.push(promotion);
		},
	});

	const pool = createControl(endpoints, getAddress);

	const confirm = async (written: EndpointStatus) => {
		const holds = (status: EndpointStatus) =>
			status.term === written.term && status.log.term === written.term && holdsLogPosition(status.log, written.log);
		const countVotes = (answers: ReadonlyArray<{readonly answer: EndpointStatus}>) => answers.filter(({answer}) => holds(answer)).length;
		const majority = getMajority(bench.group.cfg);
		const answers = await gatherAnswers({
			clock,
			endpoints: bench.group.cfg.endpoints,
			ask: async ({name: endpoint}) => pool(endpoint, async connection => connection.waitFor(written.log, 300, 400)),
			isEnough: gathered => countVotes(gathered) >= majority,
			stragglerMs: 0,
			boundMs: 400,
		});
		return countVotes(answers) >= majority;
	};

	const writeOnce = async (timeoutMs: number) => {
		const primary = knowledge.getPrimary();
		if (!primary) {
			return false;
		}

		const term = knowledge.highestTerm;
		const requestId = createRequestId(clock.wall(), random);
		try {
			const answer = await pool(primary.name, async connection => connection.write({
				requestId, digest: 'd', statement: 'INSERT INTO nights (id) VALUES ($1)', values: [requestId], term,
			}, timeoutMs));
			knowledge.observe(primary.name, answer.status, clock.now());
			return answer.result === KeyedWriteResult.Ran && await confirm(answer.status);
		} catch {
			failover.suspect(primary.name, clock.now());
			return false;
		}
	};

	const pauseNow = () => {
		clock.pause();
		bench.network.pause(address);
		for (const server of bench.servers) {
			endpoints.getLink(server.address).cut();
		}
	};

	const resume = async () => {
		clock.resume();
		await bench.clock.advance(0);
		bench.network.resume(address);
		for (const server of bench.servers) {
			endpoints.getLink(server.address).heal();
		}
	};

	const rank = owning.getOwners('filings', bench.group.cfg.owners, clock.now()).findIndex(owner => owner.name === name);
	// A host that does not own the group only answers peer calls as a witness.
	if (rank !== -1) {
		await failover.start();
	}

	return {
		name,
		address,
		rank: rank === -1 ? Infinity : rank,
		knowledge,
		failover,
		endpoints,
		platform,
		promotions,
		write: async (timeoutMs = 400) => gate.pass(async () => writeOnce(timeoutMs)),
		isHeld: () => gate.isHeld(),
		pauseNow,
		resume,
		async pause(ms) {
			pauseNow();
			await bench.clock.sleep(ms);
			await resume();
		},
		async stop() {
			await failover.stop();
			await hosts.stop();
		},
	};
}
