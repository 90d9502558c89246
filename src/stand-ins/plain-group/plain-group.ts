import {EndpointRole} from '../../endpoints/endpoint.js';
import type {EndpointLink, LinkListener, LinkTarget} from '../../links/endpoint-link.js';
import {createLinkLost, createLinkRefused, throwUnexpectedAnswer} from '../../links/link-errors.js';
import {OrderOutcome} from '../../leadership/promotion-orders.js';
import {getServerId} from '../../platform/endpoint-identity.js';
import {parseStatusRow} from '../../platform/endpoint-lines.js';
import {AnswerCode, isOverloaded, type EndpointAnswer} from '../../statements/statement-answer.js';
import type {Clock} from '../../time/clock.js';
import {createServiceSlots} from '../database/service-slots.js';
import {alignLog, getVisibleEnd, type PlainCommit} from './plain-log.js';
import {
	createPlainExecutor, type PlainObserver, type PlainServer, type PlainSession,
} from './plain-server.js';

/**
 * A database group in memory with asynchronous replication. A superseded primary stays primary until it is ordered to step down, or has been
 * connected to its successor for a second.
 */
export type PlainGroup = {
	readonly name: string;
	/** Number of slots with which each server is registered. */
	readonly slots: number;
	readonly servers: readonly PlainServer[];
	/** The server that was promoted last, or the first server; it may have ended or stepped down since. */
	readonly latestPrimary: PlainServer;
	/** Opens a connection; `isCut` returns whether the opening host cannot reach the server at this moment. */
	open(target: LinkTarget, listener: LinkListener, isCut: () => boolean, hostZone?: string): Promise<EndpointLink>;
	/** Orders a server to become primary, which takes effect after the group's promotion time. */
	promote(endpointId: string): OrderOutcome;
	/** Ends a server's process and its sessions; its log is kept. */
	crash(server: PlainServer): void;
	/** Restarts a server with its log; its fence is lost. */
	restart(server: PlainServer): void;
	/** Restarts a server immediately under its id, as a replica with an empty log. If it was the primary, the group has none until one is promoted. */
	restartEmpty(server: PlainServer): void;
	/** Starts replication, which runs until the group is stopped. */
	start(): void;
	stop(): void;
};

/** Options of a group. */
export type PlainGroupOptions = {
	readonly clock: Clock;
	readonly name: string;
	/** Availability zones, one for each server; the first server begins as primary. */
	readonly zones: readonly string[];
	readonly observer: PlainObserver;
	readonly serviceMs?: number;
	/** Returns the time that a statement takes, in milliseconds; replaces `serviceMs`. */
	getServiceMs?(text: string): number;
	/** Number of statements that a server runs concurrently; unlimited without it. */
	readonly slots?: number;
	readonly lagMs?: number;
	readonly promoteMs?: number;
	readonly replicateMs?: number;
	readonly maxConnections?: number;
	/** Number of replicas that must have received a commit before it is acknowledged; default 0. */
	readonly syncReplicas?: number;
	/** Returns the one-way latency between a host and a server in the given availability zones, in milliseconds. */
	getLatencyMs?(hostZone: string | undefined, serverZone: string): number;
};

const DEFAULT_SERVICE_MS = 10;
const DEFAULT_LAG_MS = 20;
const DEFAULT_SLOTS = 3;
const DEFAULT_PROMOTE_MS = 1000;
const DEFAULT_MAX_CONNECTIONS = 22;

/** One-way latency of a message, in milliseconds. */
const DEFAULT_LATENCY_MS = 1;

/** Time that opening a connection takes, in milliseconds. */
const OPEN_MS = 12;

/** Interval at which replicas receive commits, in milliseconds; shorter than any lag that is simulated. */
const DEFAULT_REPLICATION_INTERVAL_MS = 5;

/** Time for which a superseded primary must be connected to its successor before it steps down, in milliseconds. */
const STEP_DOWN_DELAY_MS = 1000;

/** Never settles: a connection request to an unreachable server gets no response. */
const NEVER = new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function

/** Creates a group whose first server is primary in term 1. */
export function createPlainGroup(options: PlainGroupOptions): PlainGroup {
	const {clock, name, observer} = options;
	const maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
	const servers = options.zones.map((availabilityZone, i): PlainServer => ({
		id: `${name}-${i + 1}`,
		incarnation: 0,
		address: `${name}-${i + 1}:5432`,
		availabilityZone,
		role: i === 0 ? EndpointRole.Primary : EndpointRole.Replica,
		term: 1,
		fencedTerm: 0,
		running: true,
		leaving: false,
		cutFromGroup: false,
		deaf: false,
		lagMs: options.lagMs ?? DEFAULT_LAG_MS,
		slowMs: 0,
		slots: options.slots === undefined ? undefined : createServiceSlots(options.slots),
		frozenUntil: 0,
		answersToLose: 0,
		commitsToReject: 0,
		failShare: 0,
		log: [],
		sessions: new Set(),
	}));
	let latestPrimary = servers[0]!;
	let term = 1;
	let connections = 0;
	let stopped = false;

	const isHeld = (other: PlainServer, commit: PlainCommit) => other.log[commit.position - 1]?.commit === commit;

	/** Waits for the replicas' receipt. A commit that its own server rolled back is never acknowledged. */
	const whenReceived = async (commit: PlainCommit, server: PlainServer) => {
		while (servers.filter(other => other !== server && isHeld(other, commit)).length < options.syncReplicas!) {
			if (stopped || !isHeld(server, commit)) {
				await NEVER;
			}

			await clock.sleep(options.replicateMs ?? DEFAULT_REPLICATION_INTERVAL_MS);
		}
	};

	const executor = createPlainExecutor({
		clock, observer, getServiceMs: options.getServiceMs ?? (() => options.serviceMs ?? DEFAULT_SERVICE_MS), whenReceived: options.syncReplicas ? whenReceived : undefined,
	});

	const replicateTo = (server: PlainServer) => {
		const isResponsive = ({running, frozenUntil}: PlainServer) => running && frozenUntil <= clock.now();
		const isConnected = latestPrimary.role === EndpointRole.Primary && isResponsive(server) && isResponsive(latestPrimary) && !server.deaf && !server.cutFromGroup && !latestPrimary.cutFromGroup;
		if (server === latestPrimary || !isConnected) {
			server.connectedToSuccessorSince = undefined;
			return;
		}

		if (server.role === EndpointRole.Primary) {
			server.connectedToSuccessorSince ??= clock.now();
			if (clock.now() - server.connectedToSuccessorSince < STEP_DOWN_DELAY_MS) {
				return;
			}

			server.role = EndpointRole.Replica;
		}

		if (server.fencedTerm > latestPrimary.term) {
			return;
		}

		server.term = latestPrimary.term;
		alignLog(server.log, latestPrimary.log, clock.now() + server.lagMs);
	};

	const replicate = async () => {
		while (!stopped) {
			for (const server of servers) {
				replicateTo(server);
			}

			await clock.sleep(options.replicateMs ?? DEFAULT_REPLICATION_INTERVAL_MS);
		}
	};

	const completePromotion = async (server: PlainServer) => {
		await clock.sleep(options.promoteMs ?? DEFAULT_PROMOTE_MS);
		if (!server.running || (server === latestPrimary && server.role === EndpointRole.Primary)) {
			return;
		}

		// A frozen server is promoted as well, although it does not answer until it continues: the order designated it.

		term++;
		latestPrimary = server;
		server.role = EndpointRole.Primary;
		server.term = term;
		server.fencedTerm = 0;
		observer.onPromoted?.(server);
		// A promoted server applies every commit that it has received immediately.
		for (const [i, entry] of server.log.entries()) {
			server.log[i] = {...entry, visibleAt: Math.min(entry.visibleAt, clock.now())};
		}
	};

	const connect = (server: PlainServer, workspace: string | undefined, listener: LinkListener, isCut: () => boolean, latencyMs: number): EndpointLink => {
		const session: PlainSession = {
			server, connection: ++connections, workspace, closed: false, values: new Map(), prepared: new Map(), queue: Promise.resolve(),
		};
		server.sessions.add(session);
		const closeListeners: Array<() => void> = [];
		const rejects = new Set<(err: unknown) => void>();
		let pending = 0;

		const close = (reason: string) => {
			if (session.closed) {
				return;
			}

			session.closed = true;
			session.transaction = undefined;
			server.sessions.delete(session);
			for (const reject of rejects) {
				reject(createLinkLost(server.address, reason));
			}

			for (const closeListener of closeListeners) {
				closeListener();
			}
		};

		session.queue = Promise.resolve();
		sessionClosers.set(session, close);

		const deliver = async (answer: EndpointAnswer, resolve: (answer: EndpointAnswer) => void) => {
			if (server.answersToLose > 0) {
				server.answersToLose--;
				return;
			}

			await clock.sleep(latencyMs);
			if (session.closed || isCut()) {
				return;
			}

			pending--;
			listener.onAnswered(isOverloaded(answer));
			resolve(answer);
			listener.onReceived();
		};

		const link: EndpointLink = {
			firstPosition: getVisibleEnd(server.log, clock.now()),
			get pending() {
				return pending;
			},
			get closed() {
				return session.closed;
			},
			async exchange(req) {
				if (session.closed) {
					throw createLinkLost(server.address, 'it had ended before');
				}

				listener.onSent();
				pending++;
				return new Promise((resolve, reject) => {
					rejects.add(reject);
					session.queue = session.queue.then(async () => {
						await clock.sleep(latencyMs);
						if (session.closed || isCut() || !server.running) {
							return;
						}

						const answer = await executor.execute(session, req);
						void deliver(answer, resolve);
					});
				});
			},
			async readStatus(req) {
				const answer = await link.exchange(req);
				return parseStatusRow(answer.rows[0] ?? '') ?? throwUnexpectedAnswer(server.address, req.command.kind);
			},
			cut() {
				close('cut by this host');
			},
			close() {
				close('closed by this host');
			},
			onClose(closeListener) {
				closeListeners.push(closeListener);
			},
		};
		return link;
	};

	const sessionClosers = new Map<PlainSession, (reason: string) => void>();

	return {
		name,
		slots: options.slots ?? DEFAULT_SLOTS,
		servers,
		get latestPrimary() {
			return latestPrimary;
		},
		async open(target, listener, isCut, hostZone) {
			await clock.sleep(OPEN_MS);
			const server = servers.find(({address}) => address === target.address);
			if (isCut()) {
				return NEVER;
			}

			if (!server?.running) {
				throw createLinkLost(target.address, 'connection refused');
			}

			if (server.sessions.size >= maxConnections) {
				throw createLinkRefused(target.address, AnswerCode.TooManyConnections);
			}

			if (server.id !== getServerId(target.endpointId)) {
				throw createLinkRefused(target.address, AnswerCode.WrongEndpoint);
			}

			listener.onReceived();
			return connect(server, target.workspace, listener, isCut, options.getLatencyMs?.(hostZone, server.availabilityZone) ?? DEFAULT_LATENCY_MS);
		},
		promote(endpointId) {
			const server = servers.find(({id}) => id === getServerId(endpointId));
			if (!server?.running) {
				return OrderOutcome.NotRunning;
			}

			if (server !== latestPrimary || server.role === EndpointRole.Replica) {
				void completePromotion(server);
			}

			return OrderOutcome.Accepted;
		},
		crash(server) {
			server.running = false;
			for (const session of server.sessions) {
				sessionClosers.get(session)?.('the endpoint closed it');
			}
		},
		restart(server) {
			server.running = true;
			server.fencedTerm = 0;
			server.role = server === latestPrimary ? EndpointRole.Primary : EndpointRole.Replica;
		},
		restartEmpty(server) {
			this.crash(server);
			server.incarnation++;
			server.log.length = 0;
			server.term = 0;
			server.fencedTerm = 0;
			server.role = EndpointRole.Replica;
			server.running = true;
		},
		start() {
			void replicate();
		},
		stop() {
			stopped = true;
		},
	};
}
