import type {Random} from '../../random/random.js';
import type {Clock} from '../../time/clock.js';
import {createBackend} from './backend.js';
import {throwConnectionLost, throwTooManyConnections} from './database-errors.js';
import {createDatabaseSession, type DatabaseSession} from './database-session.js';
import type {ExchangeKind} from './exchange-kind.js';
import {createGroupMember, type GroupMember} from './group-member.js';
import {createReplication} from './replication.js';
import {createServerFaults, type ServerFaults} from './server-faults.js';
import {createServerMemory} from './server-memory.js';

/** An in-memory model of one database server. */
export type DatabaseServer = {
	/** `ip:port`. */
	readonly address: string;
	/** Log, state, term and role, which are kept over a kill. */
	readonly member: GroupMember;
	readonly faults: ServerFaults;
	/** Number of open connections. */
	readonly connections: number;
	/** Opens a connection from a host; rejects with DatabaseError if the server is down or has reached its connection limit. */
	connect(from: string): Promise<DatabaseSession>;
	/** Simulates the death of the process: connections and running statements are lost, the log is kept. */
	kill(): void;
	/** Starts a killed server with its log, promised term and role. */
	restart(): void;
	/** Makes the open connections, of all hosts or of one, silent for good; new connections work. */
	silenceConnections(from?: string): void;
	setReplicationLag(ms: number): void;
	setReplicationStalled(stalled: boolean): void;
	/** Sets whether the server announces that it is about to leave. */
	setLeaving(leaving: boolean): void;
	/** Registers a listener for each exchange that arrives, with the host that sent it. */
	onExchange(listener: ExchangeListener): void;
	/** Resumes replication after a change elsewhere in the group. */
	wake(): void;
	/** Ends the server's connections and background work. */
	stop(): void;
};

/** Is called for each exchange that arrives at a server. */
export type ExchangeListener = (kind: ExchangeKind, from: string) => void;

/** Capacities of a stand-in server, and how long its operations take. */
export type DatabaseServerParameters = {
	/** Time to open a connection, in milliseconds. */
	readonly connectMs: number;
	/** Maximum number of open connections. */
	readonly connections: number;
	/** Maximum number of statements that run at once. */
	readonly slots: number;
	/** Mean time for which a statement holds a slot, in milliseconds. */
	readonly serviceMs: number;
	/** Time that an entry takes to reach a replica, in milliseconds. */
	readonly replicationLagMs: number;
	/** How long a transaction may be idle before the server ends its connection, in milliseconds. */
	readonly idleInTransactionMs: number;
	/** How long the server keeps a connection after it has become silent, in milliseconds. */
	readonly keepAliveMs: number;
};

/** The parameters of the users' servers. */
export const DEFAULT_SERVER_PARAMETERS: DatabaseServerParameters = {
	connectMs: 10,
	connections: 20,
	slots: 3,
	serviceMs: 1,
	replicationLagMs: 1,
	idleInTransactionMs: 10_000,
	keepAliveMs: 5000,
};

/** Options of {@link createDatabaseServer}. */
export type DatabaseServerOptions = {
	readonly address: string;
	readonly clock: Clock;
	readonly random: Random;
	/** The group's servers by address, including this one once it is created. */
	readonly servers: ReadonlyMap<string, DatabaseServer>;
	readonly serverParameters: DatabaseServerParameters;
};

/** Creates a running server with an empty log. */
export function createDatabaseServer({address, clock, random, servers, serverParameters: parameters}: DatabaseServerOptions): DatabaseServer {
	const sessions = new Set<DatabaseSession>();
	const listeners: ExchangeListener[] = [];
	let memory = createServerMemory(parameters.slots);

	const wakeGroup = () => {
		for (const server of servers.values()) {
			server.wake();
		}
	};

	const faults = createServerFaults(wakeGroup);
	const member = createGroupMember({address, clock, onChange: wakeGroup});

	const replication = createReplication({
		member,
		clock,
		lagMs: parameters.replicationLagMs,
		getPrimary(primaryAddress, term) {
			const primary = servers.get(primaryAddress);
			const reachable = primary && isUp(faults) && isUp(primary.faults) && !faults.isCutFrom(primaryAddress) && !primary.faults.isCutFrom(address);
			return reachable && primary.member.isPrimaryAt(term) ? primary.member : undefined;
		},
	});

	const getServiceMs = () => parameters.serviceMs * (0.5 + random.fraction());

	const waitUntilThawed = async () => {
		while (faults.frozen) {
			await faults.changed();
		}
	};

	const openSession = (from: string) => {
		const session = createDatabaseSession({
			address,
			from,
			clock,
			faults,
			idleInTransactionMs: parameters.idleInTransactionMs,
			keepAliveMs: parameters.keepAliveMs,
			createBackend: checkAlive => createBackend({
				member,
				memory,
				clock,
				async serve() {
					if (parameters.serviceMs > 0) {
						await clock.sleep(getServiceMs());
					}

					await waitUntilThawed();
					checkAlive();
				},
				checkAlive,
			}),
			onExchange(kind) {
				for (const listener of listeners) {
					listener(kind, from);
				}
			},
			onEnd() {
				sessions.delete(session);
			},
		});
		sessions.add(session);
		return session;
	};

	const dropSessions = () => {
		for (const session of sessions) {
			session.drop();
		}
	};

	return {
		address,
		member,
		faults,
		get connections() {
			return sessions.size;
		},
		async connect(from) {
			if (!faults.killed && parameters.connectMs > 0) {
				await clock.sleep(parameters.connectMs);
			}

			while (!faults.killed && (faults.frozen || faults.isCutFrom(from))) {
				await faults.changed();
			}

			if (faults.killed) {
				throwConnectionLost(address);
			}

			return sessions.size < parameters.connections ? openSession(from) : throwTooManyConnections(address);
		},
		kill() {
			dropSessions();
			memory = createServerMemory(parameters.slots);
			faults.setKilled(true);
		},
		restart() {
			faults.setKilled(false);
		},
		silenceConnections(from) {
			for (const session of sessions) {
				if (from === undefined || session.from === from) {
					session.silence();
				}
			}
		},
		setReplicationLag: replication.setLag,
		setReplicationStalled: replication.setStalled,
		setLeaving: member.setLeaving,
		onExchange(listener) {
			listeners.push(listener);
		},
		wake: replication.wake,
		stop() {
			dropSessions();
			replication.stop();
		},
	};
}

function isUp(faults: ServerFaults): boolean {
	return !faults.killed && !faults.frozen;
}
