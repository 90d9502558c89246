import type {RetryBudget} from '../retries/retry-budget.js';
import type {Route} from '../routes/routing.js';
import {
	Access, SessionState, type IdentifiedStatement, type Statement,
} from '../statements/statement.js';
import {AnswerCode} from '../statements/statement-answer.js';
import {withinMs} from '../time/deadline.js';
import {createSleepAlarm, type SleepAlarm} from '../time/sleep-alarm.js';
import type {CallerChannel} from './caller-channel.js';
import {createCallerTransaction, type CallerTransaction} from './caller-transaction.js';
import {getShape, type EndpointStatement} from './exchange.js';
import type {GatewayParts} from './gateway-parts.js';
import {runRead} from './run-read.js';
import {runWrite} from './run-write.js';
import {createSessionMemory} from './session-memory.js';
import {createStatementTrace, describeTrace} from './statement-trace.js';
import {DONE, refuse, type StatementResult} from './statement-result.js';

/** A caller's session on its connection. */
export type CallerSession = {
	/** Whether nothing is under way: no statement, no transaction. */
	readonly idle: boolean;
	/** What is under way, for log lines. */
	readonly phase: SessionPhase;
	/** Serves the caller until it leaves or is sent away. */
	run(): Promise<void>;
	/** Ends the session as soon as nothing is under way. */
	leave(): void;
	/** Rolls an open transaction back and ends the session. */
	abort(reason: string): void;
};

/** What a session is at. */
export const SessionPhase = {
	/** Its caller has not named a database yet, or waits for the answer to that. */
	Opening: 'opening',
	Idle: 'idle',
	/** A statement has no answer yet. */
	Busy: 'busy',
	/** A transaction is open and rests. */
	Resting: 'resting',
} as const;

/** One of the phases in {@link SessionPhase}. */
export type SessionPhase = typeof SessionPhase[keyof typeof SessionPhase];

/** What a session needs. */
export type CallerSessionOptions = {
	readonly parts: GatewayParts;
	readonly channel: CallerChannel;
	getBudget(group: string): RetryBudget;
	/** Has the copy of the store confirmed, for a route that it lacks. */
	lookAgain(): Promise<unknown>;
};

/** Bound of a statement whose route has gone, in milliseconds: only what ends a transaction is still answered. */
const ENDING_TIMEOUT_MS = 1000;

/** Longest wait for the first configuration, in milliseconds: callers give up on a session that is not open after 2,000. */
const ROUTING_WAIT_MS = 1800;

/** How often a host that starts looks whether it has a configuration, in milliseconds. */
const ROUTING_RECHECK_MS = 20;

/** Longest second look for a route, in milliseconds: callers give up on a session that is not open after 2,000. */
const SECOND_LOOK_MS = 1000;

/** Creates a session. */
export function createCallerSession({parts, channel, getBudget, lookAgain}: CallerSessionOptions): CallerSession {
	const {clock, elapsedClock, log, metrics, mirror} = parts;
	let memory = createSessionMemory('');
	let transaction: CallerTransaction | undefined;
	let transactionRoute: Route | undefined;
	/** Of the statement under way, or of the transaction that it belongs to. */
	let trace = createStatementTrace();
	let busy = false;
	let leaving = false;
	let opened = false;
	let idleTimer: SleepAlarm | undefined;

	const isWanted = () => !channel.left;

	const getRoute = () => transactionRoute ?? mirror.state.routing?.routes.get(memory.database);

	const newTrace = () => {
		trace = createStatementTrace();
		return trace;
	};

	const endTransaction = () => {
		transaction = undefined;
		transactionRoute = undefined;
	};

	const getState = (): SessionState => transaction ? (transaction.failed ? SessionState.Failed : SessionState.Open) : SessionState.Idle;

	const begin = (id: string, readOnly: boolean): StatementResult => {
		const route = getRoute();
		if (!route) {
			return refuse(AnswerCode.UnknownDatabase, 'no route has this name');
		}

		transactionRoute = route;
		transaction = createCallerTransaction({
			parts,
			beginId: id,
			readOnly,
			req: {
				route, memory, arrivedAt: elapsedClock.elapsed(), isWanted, trace: newTrace(),
			},
		});
		return DONE;
	};

	const runStatement = async (id: string, statement: EndpointStatement): Promise<StatementResult> => {
		const route = getRoute();
		if (!route) {
			return refuse(AnswerCode.UnknownDatabase, 'no route has this name');
		}

		const until = clock.now() + route.statementTimeoutMs;
		if (transaction) {
			return transaction.run(id, statement, until);
		}

		const shape = getShape(memory, statement);
		if (!shape) {
			return refuse(AnswerCode.UnknownStatement, 'no statement has that name');
		}

		const single = {
			id,
			statement,
			req: {
				route, memory, arrivedAt: elapsedClock.elapsed(), until, single: true, isWanted, trace: newTrace(),
			},
		};
		return shape.access === Access.Read ? runRead(parts, getBudget(route.group), single) : runWrite(parts, single);
	};

	const commit = async (id: string): Promise<StatementResult> => {
		if (!transaction) {
			return refuse(AnswerCode.Malformed, 'no transaction is open');
		}

		const timeoutMs = getRoute()?.statementTimeoutMs ?? ENDING_TIMEOUT_MS;
		const {failed} = transaction;
		const result = await transaction.commit(id, clock.now() + timeoutMs);
		endTransaction();
		return failed ? refuse(AnswerCode.Aborted, 'the transaction had failed and was rolled back') : result;
	};

	const rollback = (id: string): StatementResult => {
		transaction?.rollback(id);
		endTransaction();
		return DONE;
	};

	const handle = async ({id, statement}: IdentifiedStatement): Promise<StatementResult> => {
		if (transaction?.failed && statement.kind !== 'rollback' && statement.kind !== 'commit') {
			return refuse(AnswerCode.Malformed, 'the transaction failed and waits to be rolled back');
		}

		switch (statement.kind) {
			case 'begin': {
				return transaction ? refuse(AnswerCode.Malformed, 'a transaction is open') : begin(id, statement.readOnly);
			}

			case 'commit': {
				return commit(id);
			}

			case 'rollback': {
				return rollback(id);
			}

			case 'run':
			case 'execute': {
				return runStatement(id, statement);
			}

			case 'malformed': {
				return refuse(AnswerCode.Malformed, 'the statement is not understood');
			}

			case 'set':
			case 'prepare':
			case 'forget': {
				return remember(statement);
			}
		}
	};

	const remember = (statement: Extract<Statement, {kind: 'set' | 'prepare' | 'forget'}>): StatementResult => {
		if (statement.kind === 'set') {
			memory.values.set(statement.name, statement.value);
		} else if (statement.kind === 'prepare') {
			memory.prepared.set(statement.name, statement.shape);
		} else {
			memory.prepared.delete(statement.name);
		}

		return DONE;
	};

	/** An idle transaction keeps one of the endpoint's few connections from everybody else. */
	const watchIdle = async () => {
		const timer = createSleepAlarm();
		idleTimer = timer;
		const idleMs = mirror.state.routing?.idleTransactionMs ?? Number.POSITIVE_INFINITY;
		await clock.sleep(idleMs, timer);
		if (!timer.aborted) {
			transaction?.abort(`the transaction was idle for ${idleMs} ms`);
		}
	};

	const serve = async (req: IdentifiedStatement) => {
		const askedAt = clock.now();
		idleTimer?.abort();
		const result = await handle(req);
		observe(req, result, clock.now() - askedAt);
		const state = getState();
		if (state === SessionState.Open) {
			void watchIdle();
		}

		await channel.answer(result, state);
	};

	const observe = ({id, statement}: IdentifiedStatement, {end}: StatementResult, tookMs: number) => {
		const outcome = end.kind === 'error' ? end.code : 'done';
		metrics.observeStatement(statement.kind, outcome, tookMs / 1000);
		const route = getRoute();
		const isLate = route !== undefined && tookMs > route.targetLatencyMs;
		if (end.kind === 'complete' && !isLate) {
			return;
		}

		const record = route && mirror.state.leadership.get(route.group);
		log.info(end.kind === 'error' ? 'a statement was refused' : 'a statement was answered late', {
			id,
			kind: statement.kind,
			...(end.kind === 'error' && {code: end.code, text: end.text}),
			database: memory.database,
			group: route?.group,
			tookMs: Math.round(tookMs),
			...describeTrace(trace),
			routing: mirror.state.routing?.version,
			epoch: record?.epoch,
			phase: record?.phase,
			confirmedAgoMs: mirror.confirmedAt === undefined ? undefined : Math.round(elapsedClock.elapsed() - mirror.confirmedAt),
		});
	};

	/** A host that has just started knows no route yet, which must not be taken for a route that is not there. */
	const waitForRouting = async () => {
		const until = clock.now() + ROUTING_WAIT_MS;
		while (!mirror.state.routing && isWanted() && clock.now() < until) {
			await clock.sleep(ROUTING_RECHECK_MS);
		}
	};

	const open = async (): Promise<boolean> => {
		const req = await channel.next();
		if (req?.kind !== 'open') {
			if (req) {
				channel.refuse(AnswerCode.Malformed, 'a session begins by naming its database');
			}

			return false;
		}

		await waitForRouting();
		if (!mirror.state.routing?.routes.has(req.database)) {
			// The copy may lack a route that was just added; a second look costs a call and spares a false refusal.
			await withinMs(clock, SECOND_LOOK_MS, lookAgain());
		}

		if (!mirror.state.routing) {
			log.info('a session was refused: no configuration is known yet', {database: req.database});
			channel.refuse(AnswerCode.Overloaded, 'this host is starting');
			return false;
		}

		if (!mirror.state.routing.routes.has(req.database)) {
			log.info('a session was refused: no route has its name', {database: req.database, routing: mirror.state.routing?.version});
			channel.refuse(AnswerCode.UnknownDatabase, 'no route has this name');
			return false;
		}

		memory = createSessionMemory(req.database);
		channel.greet();
		opened = true;
		return true;
	};

	const serveAll = async () => {
		while (!leaving || transaction !== undefined || channel.waiting) {
			const req = await channel.next();
			if (!req || req.kind === 'end') {
				return;
			}

			if (req.kind !== 'statement') {
				channel.refuse(req.kind === 'too-large' ? AnswerCode.TooLarge : AnswerCode.Malformed, 'the message is not understood');
				return;
			}

			busy = true;
			await serve(req);
			busy = false;
		}
	};

	return {
		get idle() {
			return !busy && !transaction;
		},
		get phase() {
			if (!opened) {
				return SessionPhase.Opening;
			}

			return busy ? SessionPhase.Busy : (transaction ? SessionPhase.Resting : SessionPhase.Idle);
		},
		async run() {
			try {
				if (await open()) {
					await serveAll();
				}
			} finally {
				idleTimer?.abort();
				transaction?.rollback();
				endTransaction();
				channel.close();
			}
		},
		leave() {
			leaving = true;
			if (!busy && !transaction && !channel.waiting) {
				channel.close();
			}
		},
		abort(reason) {
			leaving = true;
			transaction?.abort(reason);
			if (!busy) {
				channel.refuse(AnswerCode.Aborted, reason);
				channel.close();
			}
		},
	};
}
