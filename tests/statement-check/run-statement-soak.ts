import {setTimeout} from 'node:timers/promises';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import type {Random} from '../../src/random/random.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {EndpointRole} from '../../src/endpoints/endpoint.js';
import type {PlainServer} from '../../src/stand-ins/plain-group/plain-server.js';
import type {RanStatement} from '../../src/stand-ins/plain-group/ran-statement.js';
import {startLocalPlatform, type LocalPlatform, type LocalProxy} from '../../src/stand-ins/plain-platform/local-platform.js';
import {checkStatements, type SessionRecord, type StatementViolation} from './check-statements.js';
import {runSoakCaller} from './soak-caller.js';
import {createStatementTexts} from './statement-texts.js';

/** Options of a soak. */
export type StatementSoakOptions = {
	readonly seed: number;
	/** Time for which callers work, in seconds. */
	readonly seconds: number;
	/** Number of proxies that run at the same time. */
	readonly proxies: number;
	/** Connections that a server accepts; default 4, fewer than callers, so that callers and hosts share them. */
	readonly connections?: number;
	/** Program of the proxies; default is the bundle under `target/`. */
	readonly bundle?: string;
	/** Program of every other proxy, from an earlier version. Callers of these proxies send only what that version handles at its own connections. */
	readonly earlierBundle?: string;
	/** Whether proxies and servers fail; default true. */
	readonly faults?: boolean;
};

/** What a soak did, so that a run that did little is not taken for a clean one. */
export type StatementSoakFigures = {
	readonly sessions: number;
	readonly sent: number;
	readonly succeeded: number;
	/** Statements of callers that endpoints ran. */
	readonly ran: number;
	readonly executed: number;
	readonly committed: number;
	/** Statements that proxies closed at endpoints. */
	readonly closedNames: number;
	/** Connections on which statements of more than one caller ran. */
	readonly sharedConnections: number;
	readonly connections: number;
	readonly proxiesEnded: number;
	readonly serversEnded: number;
	readonly promotions: number;
	readonly answersLost: number;
	/** Answers to callers by their last word before the ready line. */
	readonly answers: Readonly<Record<string, number>>;
};

/** The outcome of a soak. */
export type StatementSoakResult = {
	readonly violations: readonly StatementViolation[];
	/** Lines that a server did not understand: a proxy sends none, whatever callers send. */
	readonly malformed: readonly string[];
	readonly figures: StatementSoakFigures;
	readonly sessions: readonly SessionRecord[];
	readonly ran: readonly RanStatement[];
	/** What the faults did, in order, with the time since the start in milliseconds. */
	readonly faults: readonly string[];
	/** Log lines by proxy. */
	readonly logs: ReadonlyMap<string, readonly string[]>;
};

const DEFAULT_CONNECTIONS = 4;

const DATABASES = ['sync', 'review', 'roster'];
const ZONES = ['zone-a', 'zone-b'];

/** Callers of a proxy that stay until its process is gone, and callers that leave after a few operations. */
const LONG_CALLERS = 5;
const SHORT_CALLERS = 2;
const SHORT_OPERATIONS = 4;

/** Time for which a server is down, in milliseconds: shorter than a failover, or longer. */
const MIN_DOWN_MS = 300;
const MAX_FURTHER_DOWN_MS = 7000;

/** Share of the statements of a caller that are as long as a line may be. */
const FILLED_SHARE = 0.004;

/** Runs callers, proxies as processes and faults on loopback, and judges what the endpoints ran. */
export async function runStatementSoak(options: StatementSoakOptions): Promise<StatementSoakResult> {
	const {seed, seconds, earlierBundle, connections = DEFAULT_CONNECTIONS, faults: hasFaults = true} = options;
	const ran: RanStatement[] = [];
	const malformed: string[] = [];
	const faults: string[] = [];
	const logs = new Map<string, readonly string[]>();
	const counts = {
		proxiesEnded: 0, serversEnded: 0, promotions: 0, answersLost: 0,
	};
	const start = performance.now();
	let stopping = false;
	const stopped = new AbortController();
	const platform = await startLocalPlatform({
		onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onCommit() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onPromoted(server) {
			counts.promotions++;
			noteFault(`${server.id} is primary`);
		},
		onStatement(statement) {
			ran.push(statement);
		},
		onMalformed(line) {
			malformed.push(line);
		},
	}, {maxConnections: connections});

	const noteFault = (what: string) => {
		faults.push(`${Math.round(performance.now() - start)} ${what}`);
	};

	const slots = Array.from({length: options.proxies}, (_, i): ProxySlot => ({
		name: `entry-${i + 1}`, starts: 0, isEarlier: earlierBundle !== undefined && i % 2 === 1, isBusy: false,
	}));

	const startProxy = async (slot: ProxySlot, i: number) => {
		const proxy = await platform.startProxy(`${slot.name}-${++slot.starts}`, {bundle: slot.isEarlier ? earlierBundle : options.bundle, zone: ZONES[i % ZONES.length]});
		logs.set(proxy.name, proxy.lines);
		slot.proxy = proxy;
		noteFault(`${proxy.name} serves at ${proxy.callerPort}`);
	};

	const createRandom = (stream: number) => createSeededRandom((seed * 1000) + stream);

	const replaceProxy = async (random: Random) => {
		const i = Math.floor(random.fraction() * slots.length);
		const signal = random.fraction() < 0.5 ? 'SIGTERM' : 'SIGKILL';
		const slot = slots[i]!;
		if (slot.isBusy || !slot.proxy) {
			return;
		}

		slot.isBusy = true;
		noteFault(`${slot.proxy.name} gets ${signal}`);
		counts.proxiesEnded++;
		const ended = slot.proxy.end(signal);
		if (random.fraction() < 0.5) {
			await ended;
		}

		await startProxy(slot, i);
		await ended;
		slot.isBusy = false;
	};

	const endServer = async (random: Random) => {
		const isPrimary = random.fraction() < 0.6;
		const server = platform.group.servers.find(({running, leaving, role}) => running && !leaving && (role === EndpointRole.Primary) === isPrimary);
		if (!server || platform.group.servers.some(other => !other.running || other.leaving)) {
			return;
		}

		counts.serversEnded++;
		await (random.fraction() < 0.5 ? releaseServer : crashServer)(platform, server, {random, noteFault, stopped: stopped.signal});
	};

	const loseAnswers = (random: Random) => {
		const server = platform.group.servers[Math.floor(random.fraction() * platform.group.servers.length)]!;
		const count = 1 + Math.floor(random.fraction() * 2);
		counts.answersLost += count;
		server.answersToLose += count;
	};

	const repeat = async (random: Random, longestPauseMs: number, act: (random: Random) => Promise<void> | void) => {
		while (hasFaults && !stopping) {
			await sleep(random.fraction() * longestPauseMs, stopped.signal);
			if (!stopping) {
				await act(random);
			}
		}
	};

	try {
		await Promise.all(slots.map(async (slot, i) => startProxy(slot, i)));
		const callers = slots.flatMap((slot, i) => Array.from({length: LONG_CALLERS + SHORT_CALLERS}, async (_, k) => {
			const random = createRandom(100 + (i * (LONG_CALLERS + SHORT_CALLERS)) + k);
			return runSoakCaller({
				name: `c${i}x${k}`,
				random,
				texts: createStatementTexts(random, !slot.isEarlier),
				getPort: () => slot.proxy?.callerPort,
				databases: DATABASES,
				operations: k < LONG_CALLERS ? Number.POSITIVE_INFINITY : SHORT_OPERATIONS,
				filledShare: slot.isEarlier ? 0 : FILLED_SHARE,
				hasValues: seed % 2 === 1,
				setsInTransactions: !slot.isEarlier,
				isStopping: () => stopping,
			});
		}));
		const faultSeries = Promise.all([
			repeat(createRandom(1), 4000, replaceProxy),
			repeat(createRandom(2), 6000, replaceProxy),
			repeat(createRandom(3), 8000, endServer),
			repeat(createRandom(4), 1500, loseAnswers),
		]);
		// One that fails ends the run below, so that no proxy is left behind.
		faultSeries.catch(() => undefined);
		await sleep(seconds * 1000, stopped.signal);
		stopping = true;
		const records = await Promise.all(callers);
		stopped.abort();
		const sessions = records.flat();
		await faultSeries;
		return {
			violations: checkStatements(sessions, ran), malformed, figures: {...countStatements(sessions, ran), ...counts}, sessions, ran, faults, logs,
		};
	} finally {
		stopping = true;
		await platform.stop();
	}
}

type ProxySlot = {
	readonly name: string;
	starts: number;
	readonly isEarlier: boolean;
	isBusy: boolean;
	proxy?: LocalProxy;
};

type ServerFaultOptions = {
	readonly random: Random;
	readonly noteFault: (what: string) => void;
	/** Ends the fault early. */
	readonly stopped: AbortSignal;
};

async function releaseServer(platform: LocalPlatform, server: PlainServer, options: ServerFaultOptions) {
	const {random, noteFault, stopped} = options;
	noteFault(`${server.id} is leaving`);
	server.leaving = true;
	await sleep(1000 + (random.fraction() * 2000), stopped);
	await crashServer(platform, server, options);
	server.leaving = false;
}

async function crashServer({group}: LocalPlatform, server: PlainServer, {random, noteFault, stopped}: ServerFaultOptions) {
	noteFault(`${server.id} ends as ${server.role}`);
	group.crash(server);
	await sleep(MIN_DOWN_MS + (random.fraction() * MAX_FURTHER_DOWN_MS), stopped);
	group.restart(server);
	noteFault(`${server.id} is back as ${server.role}`);
}

function countStatements(sessions: readonly SessionRecord[], ran: readonly RanStatement[]) {
	const exchanges = sessions.flatMap(session => session.exchanges);
	const answers: Record<string, number> = {};
	for (const {answer} of exchanges) {
		const line = answer.findLast(candidate => !candidate.startsWith('READY ')) ?? 'none';
		const word = line.startsWith('ERROR ') ? line.split(' ')[1]! : line.split(' ')[0]!;
		answers[word] = (answers[word] ?? 0) + 1;
	}

	const byCallers = ran.filter(({id, end}) => id !== '-' && (end.kind === 'complete' || end.code === AnswerCode.Failed));
	const callersByConnection = new Map<number, Set<string>>();
	for (const {id, connection} of byCallers) {
		const callers = callersByConnection.get(connection) ?? new Set();
		callersByConnection.set(connection, callers.add(id.split('-')[0]!));
	}

	return {
		sessions: sessions.length,
		sent: exchanges.length,
		succeeded: answers.COMPLETE ?? 0,
		ran: byCallers.length,
		executed: byCallers.filter(({command}) => command.kind === 'execute').length,
		committed: ran.filter(({committed}) => committed.length > 0).length,
		closedNames: ran.filter(({command}) => command.kind === 'close').length,
		sharedConnections: [...callersByConnection.values()].filter(callers => callers.size > 1).length,
		connections: callersByConnection.size,
		answers,
	};
}

/** Resolves after a time, or as soon as the signal is aborted. */
async function sleep(ms: number, signal: AbortSignal): Promise<void> {
	await setTimeout(ms, undefined, {signal}).catch(() => undefined);
}
