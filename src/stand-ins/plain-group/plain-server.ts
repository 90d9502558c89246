import {EndpointRole} from '../../endpoints/endpoint.js';
import type {EndpointRequest, EndpointStatus} from '../../links/endpoint-link.js';
import {SessionState, type PreparedShape} from '../../statements/statement.js';
import {AnswerCode, type AnswerEnd, type EndpointAnswer} from '../../statements/statement-answer.js';
import {holdsLogPosition, type LogPosition} from '../../terms/log-position.js';
import type {Clock} from '../../time/clock.js';
import type {ServiceSlots} from '../database/service-slots.js';
import {
	getVisibleEnd, readItem, type HeldCommit, type PlainCommit,
} from './plain-log.js';

/** A session on a server: one connection. */
export type PlainSession = {
	readonly server: PlainServer;
	/** Workspace that the connection was opened for. */
	readonly workspace?: string;
	closed: boolean;
	values: Map<string, string>;
	prepared: Map<string, PreparedShape>;
	transaction?: {readonly readOnly: boolean; readonly writes: Array<PlainCommit['writes'][number]>};
	/** Requests are served one after the other. */
	queue: Promise<unknown>;
};

/** A database server that takes no request keys and whose fence lasts only until it restarts. */
export type PlainServer = {
	/** The server's own, the same after each restart. */
	readonly id: string;
	/** Grows each time that it starts without what it held. */
	life: number;
	readonly address: string;
	readonly availabilityZone: string;
	role: EndpointRole;
	term: number;
	/** Term of the fence, 0 without one. */
	fencedTerm: number;
	running: boolean;
	leaving: boolean;
	/** Receives nothing from its primary. */
	cutFromGroup: boolean;
	/** Time from a commit until reads here see it, in milliseconds. */
	lagMs: number;
	/** Time added to each statement, in milliseconds. */
	slowMs: number;
	/** Undefined where any number of statements runs at once. */
	readonly slots?: ServiceSlots;
	/** Stands still until then, as a suspended process does: what came meanwhile runs afterwards. */
	frozenUntil: number;
	/** Answers to be lost after their statement ran; each counts down. */
	loseAnswers: number;
	/** Commits to be turned away for want of a slot, with their transactions left open; each counts down. */
	turnAwayCommits: number;
	readonly log: HeldCommit[];
	readonly sessions: Set<PlainSession>;
	/** Since when it has been able to reach a primary of a later term. */
	metSuccessorAt?: number;
};

/** What is told of each statement that ran, for the judgement of a whole run. */
export type PlainObserver = {
	onRead(read: {readonly id: string; readonly server: PlainServer; readonly end: LogPosition; readonly workspace?: string}): void;
	onCommit(commit: PlainCommit, server: PlainServer, id: string, workspace?: string): void;
	/** The server leads from now on; what its log lacks of the former leader's is rolled back for good. */
	onLead?(server: PlainServer): void;
};

/** Runs requests of sessions. */
export type PlainExecutor = {
	execute(session: PlainSession, req: EndpointRequest): Promise<EndpointAnswer>;
};

/** What the executor needs. */
export type PlainExecutorOptions = {
	readonly clock: Clock;
	/** Time that a statement takes, in milliseconds. */
	getServiceMs(text: string): number;
	readonly observer: PlainObserver;
};

/** Waits for a server that stands still. */
async function whenThawed(clock: Clock, server: PlainServer): Promise<void> {
	while (clock.now() < server.frozenUntil) {
		await clock.sleep(server.frozenUntil - clock.now());
	}
}

/** Creates what runs requests. */
export function createPlainExecutor({clock, getServiceMs, observer}: PlainExecutorOptions): PlainExecutor {
	const getState = (session: PlainSession) => session.transaction ? SessionState.Open : SessionState.Idle;

	const answer = (session: PlainSession, end: AnswerEnd, rows: readonly string[] = []): EndpointAnswer => ({
		rows, end, state: getState(session), position: getVisibleEnd(session.server.log, clock.now()),
	});

	const done = (session: PlainSession, signature?: string, rows?: readonly string[]) => answer(session, {kind: 'complete', signature}, rows);

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
		const made: PlainCommit = {term: server.term, position: server.log.length + 1, writes};
		server.log.push({commit: made, visibleAt: clock.now()});
		observer.onCommit(made, server, id, session.workspace);
		return done(session, `sign-${id}`);
	};

	const lostLead = ({server, transaction}: PlainSession) => transaction !== undefined && !transaction.readOnly && server.role !== EndpointRole.Primary;

	const read = (session: PlainSession, id: string, item: string) => {
		const {server} = session;
		const now = clock.now();
		observer.onRead({
			id, server, end: getVisibleEnd(server.log, now), workspace: session.workspace,
		});
		return done(session, `sign-${id}`, [readItem(server.log, now, item) ?? '-']);
	};

	const write = (session: PlainSession, id: string, item: string, data: string) => {
		if (session.server.role !== EndpointRole.Primary || session.transaction?.readOnly) {
			return refuse(session, AnswerCode.ReadOnly);
		}

		const made = {item, data, statementId: id};
		if (session.transaction) {
			session.transaction.writes.push(made);
			return done(session, `sign-${id}`);
		}

		return commit(session, id, [made]);
	};

	const run = (session: PlainSession, id: string, text: string) => {
		const [word, item = '', data = ''] = text.split(' ');
		return word === 'WRITE' ? write(session, id, item, data) : read(session, id, item);
	};

	const begin = (session: PlainSession, readOnly: boolean) => {
		if (!readOnly && session.server.role !== EndpointRole.Primary) {
			return refuse(session, AnswerCode.ReadOnly);
		}

		session.transaction = {readOnly, writes: []};
		return done(session);
	};

	const end = (session: PlainSession, id: string) => {
		const {transaction} = session;
		if (lostLead(session) && transaction!.writes.length > 0) {
			session.transaction = undefined;
			return refuse(session, AnswerCode.ReadOnly);
		}

		session.transaction = undefined;
		return transaction && transaction.writes.length > 0 ? commit(session, id, transaction.writes) : done(session, `sign-${id}`);
	};

	const stepDown = (session: PlainSession, term: number) => {
		if (session.server.role === EndpointRole.Primary && term > session.server.term) {
			session.server.role = EndpointRole.Replica;
		}

		return status(session);
	};

	const status = (session: PlainSession) => {
		const {role, term, received, fencedTerm, lagMs, busy, connections} = getStatus(session);
		return done(session, undefined, [`${role} ${term} ${received.term}.${received.position} ${fencedTerm} ${lagMs} ${busy} ${connections}`]);
	};

	const perform = (session: PlainSession, {id = '-', command}: EndpointRequest): EndpointAnswer => {
		const {server} = session;
		switch (command.kind) {
			case 'run': {
				return lostLead(session) ? refuse(session, AnswerCode.ReadOnly) : run(session, id, command.text);
			}

			case 'execute': {
				const shape = session.prepared.get(command.name);
				return shape ? run(session, id, `${shape.access === 'read' ? 'READ' : 'WRITE'} ${command.args}`) : refuse(session, AnswerCode.UnknownStatement);
			}

			case 'begin': {
				return begin(session, command.readOnly);
			}

			case 'commit': {
				if (server.turnAwayCommits > 0) {
					server.turnAwayCommits--;
					return refuse(session, AnswerCode.Overloaded);
				}

				return end(session, id);
			}

			case 'rollback': {
				session.transaction = undefined;
				return done(session);
			}

			case 'set': {
				session.values.set(command.name, command.value);
				return done(session);
			}

			case 'prepare': {
				session.prepared.set(command.name, command.shape);
				return done(session);
			}

			case 'reset': {
				session.values.clear();
				session.prepared.clear();
				return done(session);
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

	return {
		async execute(session, req) {
			const {server, transaction} = session;
			const {command} = req;
			const text = command.kind === 'run' ? command.text : (command.kind === 'execute' ? command.args : undefined);
			if (text !== undefined || command.kind === 'commit') {
				await server.slots?.take();
				await clock.sleep(getServiceMs(text ?? '') + server.slowMs);
				server.slots?.release();
			} else {
				await clock.sleep(0);
			}

			await whenThawed(clock, server);
			if (transaction && session.closed) {
				// Guards against a write that is kept by itself, though its transaction was rolled back with the connection while it ran.
				return refuse(session, AnswerCode.Aborted);
			}

			return isBehind(session, req.floor) ? refuse(session, AnswerCode.Lagging) : perform(session, req);
		},
	};
}
