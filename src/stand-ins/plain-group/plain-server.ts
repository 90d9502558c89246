import {EndpointRole} from '../../endpoints/endpoint.js';
import type {EndpointRequest, EndpointStatus} from '../../links/endpoint-link.js';
import {Access, SessionState, type PreparedShape} from '../../statements/statement.js';
import {AnswerCode, type AnswerEnd, type EndpointAnswer} from '../../statements/statement-answer.js';
import {holdsLogPosition, type LogPosition} from '../../terms/log-position.js';
import type {Clock} from '../../time/clock.js';
import type {ServiceSlots} from '../database/service-slots.js';
import type {RanStatement} from './ran-statement.js';
import {
	getVisibleEnd, readItem, type LogEntry, type PlainCommit,
} from './plain-log.js';

/** A session on a server, which is one connection. */
export type PlainSession = {
	readonly server: PlainServer;
	/** Number of the connection, unique in its group. */
	readonly connection: number;
	/** Workspace for which the connection was opened. */
	readonly workspace?: string;
	closed: boolean;
	values: Map<string, string>;
	prepared: Map<string, PreparedShape>;
	transaction?: {readonly ordinal: number; readonly readOnly: boolean; readonly writes: Array<PlainCommit['writes'][number]>};
	/** Settles once the last request has been served: requests are served one after the other. */
	queue: Promise<unknown>;
};

/** A database server that accepts no request keys and whose fence lasts only until it restarts. */
export type PlainServer = {
	/** Id of the server, the same after each restart. */
	readonly id: string;
	/** Number of restarts with an empty log. */
	incarnation: number;
	readonly address: string;
	readonly availabilityZone: string;
	role: EndpointRole;
	term: number;
	/** Term of the fence, 0 without one. */
	fencedTerm: number;
	running: boolean;
	leaving: boolean;
	/** Whether replication from and to the server is cut. */
	cutFromGroup: boolean;
	/** Whether it receives no commits. */
	deaf: boolean;
	/** Time from the receipt of a commit until reads on this server see it, in milliseconds. */
	lagMs: number;
	/** Time added to each statement, in milliseconds. */
	slowMs: number;
	/** Limits the statements that run concurrently; undefined where there is no limit. */
	readonly slots?: ServiceSlots;
	/** Time until which the server is frozen like a suspended process: requests that arrive before run afterwards. */
	frozenUntil: number;
	/** Number of coming answers that are lost after their statement ran. */
	answersToLose: number;
	/** Share of the reads that fail, from 0 to 1; they fail at even intervals. */
	failShare: number;
	/** Number of coming commits that are rejected for lack of a slot, which leaves their transactions open. */
	commitsToReject: number;
	readonly log: LogEntry[];
	readonly sessions: Set<PlainSession>;
	/** Time since which this superseded primary has been connected to its successor without interruption. */
	connectedToSuccessorSince?: number;
};

/** Observes the statements that ran, so that a whole run can be verified. */
export type PlainObserver = {
	onRead(read: {readonly id: string; readonly server: PlainServer; readonly end: LogPosition; readonly workspace?: string}): void;
	onCommit(commit: PlainCommit, server: PlainServer, id: string, workspace?: string): void;
	/** Called when a server has become primary; commits of the former primary that its log lacks are lost. */
	onPromoted?(server: PlainServer): void;
	/** Called for every request, also a refused one, at the moment at which it takes effect. */
	onStatement?(statement: RanStatement): void;
	/** Called for every line that a server on a socket did not understand, and so did not run. */
	onMalformed?(line: string): void;
};

/** A request to a server, with the line in which it arrived; undefined where it arrived in memory. */
export type PlainRequest = EndpointRequest & {readonly line?: string};

/** Executes the requests of sessions. */
export type PlainExecutor = {
	execute(session: PlainSession, req: PlainRequest): Promise<EndpointAnswer>;
};

/** Options of an executor. */
export type PlainExecutorOptions = {
	readonly clock: Clock;
	/** Returns the time that a statement takes, in milliseconds. */
	getServiceMs(text: string): number;
	readonly observer: PlainObserver;
	/** Resolves once enough replicas have received a commit for it to be acknowledged; undefined where none has to. */
	whenReceived?(commit: PlainCommit, server: PlainServer): Promise<void>;
};

/** Resolves once a server is not frozen. */
async function whenThawed(clock: Clock, server: PlainServer): Promise<void> {
	while (clock.now() < server.frozenUntil) {
		await clock.sleep(server.frozenUntil - clock.now());
	}
}

/** Creates an executor. */
export function createPlainExecutor({clock, getServiceMs, observer, whenReceived}: PlainExecutorOptions): PlainExecutor {
	/** Fraction of the next failure of a read, by server. */
	const unfailed = new Map<PlainServer, number>();
	let transactions = 0;

	const getState = (session: PlainSession) => session.transaction ? SessionState.Open : SessionState.Idle;

	const answer = (session: PlainSession, end: AnswerEnd, rows: readonly string[] = []): EndpointAnswer => ({
		rows, end, state: getState(session), position: getVisibleEnd(session.server.log, clock.now()),
	});

	const complete = (session: PlainSession, signature?: string, rows?: readonly string[]) => answer(session, {kind: 'complete', signature}, rows);

	const refuse = (session: PlainSession, code: AnswerCode) => answer(session, {kind: 'error', code, text: session.server.id});

	const isBehind = ({server}: PlainSession, floor: LogPosition | undefined) =>
		floor !== undefined && !holdsLogPosition(getVisibleEnd(server.log, clock.now()), floor);

	const getStatus = ({server}: PlainSession): EndpointStatus => ({
		role: server.role,
		term: server.term,
		received: {term: server.log.at(-1)?.commit.term ?? server.term, position: server.log.length},
		fencedTerm: server.fencedTerm,
		lagMs: server.lagMs,
		busy: 0,
		connections: server.sessions.size,
	});

	const commit = (session: PlainSession, id: string, writes: PlainCommit['writes']) => {
		const {server} = session;
		const newCommit: PlainCommit = {term: server.term, position: server.log.length + 1, writes};
		server.log.push({commit: newCommit, visibleAt: clock.now()});
		observer.onCommit(newCommit, server, id, session.workspace);
		return complete(session, `sign-${id}`);
	};

	const lostPrimaryRole = ({server, transaction}: PlainSession) => transaction !== undefined && !transaction.readOnly && server.role !== EndpointRole.Primary;

	const read = (session: PlainSession, id: string, item: string) => {
		const {server} = session;
		const now = clock.now();
		const failures = (unfailed.get(server) ?? 0) + server.failShare;
		unfailed.set(server, failures % 1);
		if (failures >= 1) {
			return refuse(session, AnswerCode.Failed);
		}

		observer.onRead({
			id, server, end: getVisibleEnd(server.log, now), workspace: session.workspace,
		});
		return complete(session, `sign-${id}`, [readItem(server.log, now, item) ?? '-']);
	};

	const write = (session: PlainSession, id: string, item: string, data: string) => {
		if (session.server.role !== EndpointRole.Primary || session.transaction?.readOnly) {
			return refuse(session, AnswerCode.ReadOnly);
		}

		const made = {item, data, statementId: id};
		if (session.transaction) {
			session.transaction.writes.push(made);
			return complete(session, `sign-${id}`);
		}

		return commit(session, id, [made]);
	};

	/** Runs a statement on its arguments; the last one extends to the end of the line. */
	const run = (session: PlainSession, id: string, access: Access, args: string) => {
		if (lostPrimaryRole(session)) {
			return refuse(session, AnswerCode.ReadOnly);
		}

		if (access === Access.Read) {
			return read(session, id, args);
		}

		const blank = args.indexOf(' ');
		return blank === -1 ? write(session, id, args, '') : write(session, id, args.slice(0, blank), args.slice(blank + 1));
	};

	const runText = (session: PlainSession, id: string, text: string) => {
		const blank = text.indexOf(' ');
		return run(session, id, text.startsWith('WRITE ') ? Access.Write : Access.Read, text.slice(blank + 1));
	};

	const execute = (session: PlainSession, id: string, name: string, args = '') => {
		const shape = session.prepared.get(name);
		return shape ? run(session, id, shape.access, args) : refuse(session, AnswerCode.UnknownStatement);
	};

	const begin = (session: PlainSession, readOnly: boolean) => {
		if (!readOnly && session.server.role !== EndpointRole.Primary) {
			return refuse(session, AnswerCode.ReadOnly);
		}

		session.transaction = {ordinal: ++transactions, readOnly, writes: []};
		return complete(session);
	};

	const endTransaction = (session: PlainSession, id: string) => {
		const {transaction} = session;
		if (lostPrimaryRole(session) && transaction!.writes.length > 0) {
			session.transaction = undefined;
			return refuse(session, AnswerCode.ReadOnly);
		}

		session.transaction = undefined;
		return transaction && transaction.writes.length > 0 ? commit(session, id, transaction.writes) : complete(session, `sign-${id}`);
	};

	const stepDown = (session: PlainSession, term: number) => {
		if (session.server.role === EndpointRole.Primary && term > session.server.term) {
			session.server.role = EndpointRole.Replica;
		}

		return status(session);
	};

	const status = (session: PlainSession) => {
		const {role, term, received, fencedTerm, lagMs, busy, connections} = getStatus(session);
		return complete(session, undefined, [`${role} ${term} ${received.term}.${received.position} ${fencedTerm} ${lagMs} ${busy} ${connections}`]);
	};

	const perform = (session: PlainSession, {id = '-', command}: EndpointRequest): EndpointAnswer => {
		const {server} = session;
		switch (command.kind) {
			case 'run': {
				return runText(session, id, command.text);
			}

			case 'execute': {
				return execute(session, id, command.name, command.args);
			}

			case 'begin': {
				return begin(session, command.readOnly);
			}

			case 'commit': {
				if (server.commitsToReject > 0) {
					server.commitsToReject--;
					return refuse(session, AnswerCode.Overloaded);
				}

				return endTransaction(session, id);
			}

			case 'rollback': {
				session.transaction = undefined;
				return complete(session);
			}

			case 'set': {
				session.values.set(command.name, command.value);
				return complete(session);
			}

			case 'prepare': {
				session.prepared.set(command.name, command.shape);
				return complete(session);
			}

			case 'close': {
				session.prepared.delete(command.name);
				return complete(session);
			}

			case 'reset': {
				session.values.clear();
				session.prepared.clear();
				return complete(session);
			}

			case 'fence': {
				if (server.role === EndpointRole.Replica && command.term > server.term) {
					server.fencedTerm = Math.max(server.fencedTerm, command.term);
				}

				return status(session);
			}

			case 'unfence': {
				server.fencedTerm = 0;
				return status(session);
			}

			case 'step-down': {
				return stepDown(session, command.term);
			}

			case 'status': {
				return status(session);
			}
		}
	};

	/** Performs a request and reports it to the observer. */
	const performObserved = (session: PlainSession, req: PlainRequest) => {
		const {server, transaction} = session;
		const {command} = req;
		const shape = command.kind === 'execute' ? session.prepared.get(command.name) : undefined;
		const before = server.log.length;
		const performed = isBehind(session, req.floor) ? refuse(session, AnswerCode.Lagging) : perform(session, req);
		observer.onStatement?.({
			server: server.id,
			connection: session.connection,
			id: req.id ?? '-',
			line: req.line,
			command,
			shape,
			values: new Map(session.values),
			transaction: (transaction ?? session.transaction)?.ordinal,
			committed: server.log.slice(before).flatMap(entry => entry.commit.writes.map(({statementId}) => statementId)),
			rows: performed.rows,
			end: performed.end,
		});
		return performed;
	};

	/** Performs a request; where it committed, waits for the replicas, which takes a slot. */
	const performAndWait = async (session: PlainSession, req: PlainRequest) => {
		const {server} = session;
		const before = server.log.length;
		const performed = performObserved(session, req);
		if (whenReceived && server.log.length > before) {
			await server.slots?.acquire();
			await whenReceived(server.log.at(-1)!.commit, server);
			server.slots?.release();
		}

		return performed;
	};

	return {
		async execute(session, req) {
			const {server, transaction} = session;
			const {command} = req;
			const text = command.kind === 'run' ? command.text : (command.kind === 'execute' ? command.args ?? '' : undefined);
			if (text !== undefined || command.kind === 'commit') {
				await server.slots?.acquire();
				await clock.sleep(getServiceMs(text ?? '') + server.slowMs);
				server.slots?.release();
			} else {
				await clock.sleep(0);
			}

			await whenThawed(clock, server);
			if (transaction && session.closed) {
				// Without this check, a write whose connection ended while it ran would be committed alone although its transaction was rolled back.
				return refuse(session, AnswerCode.Aborted);
			}

			return performAndWait(session, req);
		},
	};
}
