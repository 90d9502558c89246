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
	/** Log, state, term and role; they outlive a kill. */
	readonly member: GroupMember;
	readonly faults: ServerFaults;
	/** Connections open at present. */
	readonly connections: number;
	/** Opens a connection from a host; rejects with DatabaseError where the server is down or grants no more. */
	connect(from: string): Promise<DatabaseSession>;
	/** Ends the process: connections and what runs are lost, the log stays. */
	kill(): void;
	/** Starts a killed server with its log, promised term and role. */
	restart(): void;
	/** Makes the connections open now, from everyone or from one host, silent for good; new ones work. */
	silenceConnections(from?: string): void;
	setReplicationLag(ms: number): void;
	setReplicationStalled(stalled: boolean): void;
	/** Sets the server's own word that it is about to leave. */
	setLeaving(leaving: boolean): void;
	/** Calls back with each exchange that arrives, and with the host that it came from. */
	onExchange(listener: ExchangeListener): void;
	/** Goes on with replication after a change elsewhere in the group. */
	wake(): void;
	/** Ends the server's connections and background work. */
	stop(): void;
};

/** Is told of an exchange that arrived at a server. */
export type ExchangeListener = (kind: ExchangeKind, from: string) => void;

/** The sizes of a stand-in server. */
export type DatabaseServerSizes = {
	/** Time to open a connection, in milliseconds. */
	readonly connectMs: number;
	/** Connections granted. */
	readonly connections: number;
	/** Statements run at once. */
	readonly slots: number;
	/** Mean time for which a statement holds a slot, in milliseconds. */
	readonly serviceMs: number;
	/** Time an entry takes to reach a replica, in milliseconds. */
	readonly replicationLagMs: number;
	/** How long a transaction may wait for its next statement, in milliseconds. */
	readonly idleInTransactionMs: number;
	/** How long the server keeps a connection that went silent, in milliseconds. */
	readonly keepAliveMs: number;
};

/** Sizes as the users have them today. */
export const DEFAULT_SERVER_SIZES: DatabaseServerSizes = {
	connectMs: 10,
	connections: 20,
	slots: 3,
	serviceMs: 1,
	replicationLagMs: 1,
	idleInTransactionMs: 10_000,
	keepAliveMs: 5000,
};

/** What a stand-in server needs. */
export type DatabaseServerOptions = {
	readonly address: string;
	readonly clock: Clock;
	readonly random: Random;
	/** The group's servers by address, this one among them once it is made. */
	readonly servers: ReadonlyMap<string, DatabaseServer>;
	readonly sizes: DatabaseServerSizes;
};

/** Creates a running server with an empty log. */
export function createDatabaseServer({address, clock, random, servers, sizes}: DatabaseServerOptions): DatabaseServer {
	const sessions = new Set<DatabaseSession>();
	const listeners: ExchangeListener[] = [];
	let memory = createServerMemory(sizes.slots);

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
		lagMs: sizes.replicationLagMs,
		getPrimary(primaryAddress, term) {
			const primary = servers.get(primaryAddress);
			const reachable = primary && isUp(faults) && isUp(primary.faults) && !faults.isCutFrom(primaryAddress) && !primary.faults.isCutFrom(address);
			return reachable && primary.member.isPrimaryAt(term) ? primary.member : undefined;
		},
	});

	const getServiceMs = () => sizes.serviceMs * (0.5 + random.fraction());

	const passThaw = async () => {
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
			idleInTransactionMs: sizes.idleInTransactionMs,
			keepAliveMs: sizes.keepAliveMs,
			createBackend: checkAlive => createBackend({
				member,
				memory,
				clock,
				async serve() {
					if (sizes.serviceMs > 0) {
						await clock.sleep(getServiceMs());
					}

					await passThaw();
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
			if (!faults.killed && sizes.connectMs > 0) {
				await clock.sleep(sizes.connectMs);
			}

			while (!faults.killed && (faults.frozen || faults.isCutFrom(from))) {
				await faults.changed();
			}

			if (faults.killed) {
				throwConnectionLost(address);
			}

			return sessions.size < sizes.connections ? openSession(from) : throwTooManyConnections(address);
		},
		kill() {
			dropSessions();
			memory = createServerMemory(sizes.slots);
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
