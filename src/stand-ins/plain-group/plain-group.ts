import {EndpointRole} from '../../endpoints/endpoint.js';
import type {EndpointLink, LinkListener, LinkTarget} from '../../links/endpoint-link.js';
import {createLinkLost, createLinkRefused, throwUnexpectedAnswer} from '../../links/link-errors.js';
import {OrderOutcome} from '../../leadership/promotion-orders.js';
import {getServerId} from '../../platform/endpoint-identity.js';
import {parseStatusRow} from '../../platform/endpoint-lines.js';
import {AnswerCode, isOverloaded, type EndpointAnswer} from '../../statements/statement-answer.js';
import type {Clock} from '../../time/clock.js';
import {createServiceSlots} from '../database/service-slots.js';
import {follow, getVisibleEnd} from './plain-log.js';
import {
	createPlainExecutor, type PlainObserver, type PlainServer, type PlainSession,
} from './plain-server.js';

/** A database group in memory: asynchronous replication, and nothing that binds a superseded primary but an order or its meeting the successor. */
export type PlainGroup = {
	readonly name: string;
	/** Slots of each server, as registered. */
	readonly slots: number;
	readonly servers: readonly PlainServer[];
	/** The server that was promoted last. */
	readonly leader: PlainServer;
	/** Opens a connection; `isCut` tells whether the caller's host cannot reach the server at this moment. */
	open(target: LinkTarget, listener: LinkListener, isCut: () => boolean, hostZone?: string): Promise<EndpointLink>;
	/** Has a server lead, after the group's time for that. */
	promote(endpointId: string): OrderOutcome;
	/** Ends a server's process with its sessions; its log stays. */
	crash(server: PlainServer): void;
	restart(server: PlainServer): void;
	/** Has a server start again at once under its id, with nothing of what it held; who leads is open until one is promoted, if it did. */
	startOver(server: PlainServer): void;
	/** Replicates until stopped. */
	start(): void;
	stop(): void;
};

/** What a group is made of. */
export type PlainGroupOptions = {
	readonly clock: Clock;
	readonly name: string;
	/** Availability zones, one a server; the first begins as primary. */
	readonly zones: readonly string[];
	readonly observer: PlainObserver;
	readonly serviceMs?: number;
	/** Time of each statement, in milliseconds, in place of `serviceMs`. */
	getServiceMs?(text: string): number;
	/** Statements that a server runs at once; any number without it. */
	readonly slots?: number;
	readonly lagMs?: number;
	readonly promoteMs?: number;
	readonly replicateMs?: number;
	readonly maxConnections?: number;
	/** Time for a message one way between a host and a server in their availability zones, in milliseconds. */
	getWayMs?(hostZone: string | undefined, serverZone: string): number;
};

const DEFAULT_SERVICE_MS = 10;
const DEFAULT_LAG_MS = 20;
const DEFAULT_SLOTS = 3;
const DEFAULT_PROMOTE_MS = 1000;
const DEFAULT_MAX_CONNECTIONS = 22;

/** Time for a message one way, in milliseconds. */
const WAY_MS = 1;

/** Time of opening a connection, in milliseconds. */
const OPEN_MS = 12;

/** How often replicas receive, in milliseconds; less than any lag that is played. */
const DEFAULT_REPLICATE_MS = 5;

/** A superseded primary that reaches its successor steps down after so long, in milliseconds. */
const STEPS_DOWN_AFTER_MS = 1000;

/** An opening that nobody answers. */
const NEVER = new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function

/** Creates a group whose first server leads term 1. */
export function createPlainGroup(options: PlainGroupOptions): PlainGroup {
	const {clock, name, observer} = options;
	const maxConnections = options.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
	const executor = createPlainExecutor({clock, observer, getServiceMs: options.getServiceMs ?? (() => options.serviceMs ?? DEFAULT_SERVICE_MS)});
	const servers = options.zones.map((availabilityZone, i): PlainServer => ({
		id: `${name}-${i + 1}`,
		life: 0,
		address: `${name}-${i + 1}:5432`,
		availabilityZone,
		role: i === 0 ? EndpointRole.Primary : EndpointRole.Replica,
		term: 1,
		fencedTerm: 0,
		running: true,
		leaving: false,
		cutFromGroup: false,
		lagMs: options.lagMs ?? DEFAULT_LAG_MS,
		slowMs: 0,
		slots: options.slots === undefined ? undefined : createServiceSlots(options.slots),
		frozenUntil: 0,
		loseAnswers: 0,
		turnAwayCommits: 0,
		log: [],
		sessions: new Set(),
	}));
	let leader = servers[0]!;
	let term = 1;
	let stopped = false;

	const replicateTo = (server: PlainServer) => {
		const isAwake = ({running, frozenUntil}: PlainServer) => running && frozenUntil <= clock.now();
		const reaches = leader.role === EndpointRole.Primary && isAwake(server) && isAwake(leader) && !server.cutFromGroup && !leader.cutFromGroup;
		if (server === leader || !reaches) {
			server.metSuccessorAt = undefined;
			return;
		}

		if (server.role === EndpointRole.Primary) {
			server.metSuccessorAt ??= clock.now();
			if (clock.now() - server.metSuccessorAt < STEPS_DOWN_AFTER_MS) {
				return;
			}

			server.role = EndpointRole.Replica;
		}

		if (server.fencedTerm > leader.term) {
			return;
		}

		server.term = leader.term;
		follow(server.log, leader.log, clock.now() + server.lagMs);
	};

	const run = async () => {
		while (!stopped) {
			for (const server of servers) {
				replicateTo(server);
			}

			await clock.sleep(options.replicateMs ?? DEFAULT_REPLICATE_MS);
		}
	};

	const takeLead = async (server: PlainServer) => {
		await clock.sleep(options.promoteMs ?? DEFAULT_PROMOTE_MS);
		if (!server.running || (server === leader && server.role === EndpointRole.Primary)) {
			return;
		}

		// A server that stands still leads all the same, and answers nobody: it was designated.

		term++;
		leader = server;
		server.role = EndpointRole.Primary;
		server.term = term;
		server.fencedTerm = 0;
		observer.onLead?.(server);
		// What was received is applied at once.
		for (const [i, held] of server.log.entries()) {
			server.log[i] = {...held, visibleAt: Math.min(held.visibleAt, clock.now())};
		}
	};

	const connect = (server: PlainServer, workspace: string | undefined, listener: LinkListener, isCut: () => boolean, wayMs: number): EndpointLink => {
		const session: PlainSession = {
			server, workspace, closed: false, values: new Map(), prepared: new Map(), queue: Promise.resolve(),
		};
		server.sessions.add(session);
		const closeListeners: Array<() => void> = [];
		const rejects = new Set<(err: unknown) => void>();
		let pending = 0;

		const close = (why: string) => {
			if (session.closed) {
				return;
			}

			session.closed = true;
			session.transaction = undefined;
			server.sessions.delete(session);
			for (const reject of rejects) {
				reject(createLinkLost(server.address, why));
			}

			for (const closeListener of closeListeners) {
				closeListener();
			}
		};

		session.queue = Promise.resolve();
		closeSession.set(session, close);

		const deliver = async (answer: EndpointAnswer, resolve: (answer: EndpointAnswer) => void) => {
			if (server.loseAnswers > 0) {
				server.loseAnswers--;
				return;
			}

			await clock.sleep(wayMs);
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
						await clock.sleep(wayMs);
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

	const closeSession = new Map<PlainSession, (why: string) => void>();

	return {
		name,
		slots: options.slots ?? DEFAULT_SLOTS,
		servers,
		get leader() {
			return leader;
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
			return connect(server, target.workspace, listener, isCut, options.getWayMs?.(hostZone, server.availabilityZone) ?? WAY_MS);
		},
		promote(endpointId) {
			const server = servers.find(({id}) => id === getServerId(endpointId));
			if (!server?.running) {
				return OrderOutcome.NotRunning;
			}

			if (server !== leader || server.role === EndpointRole.Replica) {
				void takeLead(server);
			}

			return OrderOutcome.Accepted;
		},
		crash(server) {
			server.running = false;
			for (const session of server.sessions) {
				closeSession.get(session)?.('the endpoint closed it');
			}
		},
		restart(server) {
			server.running = true;
			server.fencedTerm = 0;
			server.role = server === leader ? EndpointRole.Primary : EndpointRole.Replica;
		},
		startOver(server) {
			this.crash(server);
			server.life++;
			server.log.length = 0;
			server.term = 0;
			server.fencedTerm = 0;
			server.role = EndpointRole.Replica;
			server.running = true;
		},
		start() {
			void run();
		},
		stop() {
			stopped = true;
		},
	};
}
