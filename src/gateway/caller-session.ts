import type {RetryBudget} from '../retries/retry-budget.js';
import type {Route} from '../routes/routing.js';
import {
	Access, SessionState, type IdentifiedStatement, type Statement,
} from '../statements/statement.js';
import {AnswerCode} from '../statements/statement-answer.js';
import {withinMs} from '../time/deadline.js';
import {createSleepAlarm, type SleepAlarm} from '../time/sleep-alarm.js';
import type {CallerChannel, CallerRequest} from './caller-channel.js';
import {createCallerTransaction, type CallerTransaction} from './caller-transaction.js';
import {getShape, type EndpointStatement} from './exchange.js';
import {createFarewell, type Farewell} from './farewell.js';
import type {GatewayParts} from './gateway-parts.js';
import {runRead} from './run-read.js';
import {runWrite} from './run-write.js';
import {createSessionMemory} from './session-memory.js';
import {createStatementTrace, describeTrace} from './statement-trace.js';
import {DONE, refuse, type StatementResult} from './statement-result.js';
import {
	isPastLastCall, mayBegin, mayTake, type StopPlan,
} from './stop-plan.js';

/** A caller's session on its connection. */
export type CallerSession = {
	/** What is under way, for log lines. */
	readonly phase: SessionPhase;
	/** Serves the caller until it leaves or is sent away. */
	run(): Promise<void>;
	/** Ends the session as soon as nothing is under way. */
	leave(): void;
	/** Rolls an open transaction back and ends the session, behind the answer to what is under way. */
	callLast(): void;
	/** Gives a statement that is under way its final answer. */
	giveUp(): void;
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
	/** Undefined until the host is told to stop. */
	getStopPlan(): StopPlan | undefined;
};

/** Bound of a statement whose route has gone, in milliseconds: only what ends a transaction is still answered. */
const ENDING_TIMEOUT_MS = 1000;

/** Longest wait for the first configuration, in milliseconds: callers give up on a session that is not open after 2,000. */
const ROUTING_WAIT_MS = 1800;

/** How often a host that starts looks whether it has a configuration, in milliseconds. */
const ROUTING_RECHECK_MS = 20;

/** Longest second look for a route, in milliseconds: callers give up on a session that is not open after 2,000. */
const SECOND_LOOK_MS = 1000;

/** Why a host that stops takes nothing more. */
const STOP_REASON = 'the host is stopping';

/** When to come back after that, in milliseconds: another host can serve the caller at once. */
const STOPPING_COME_BACK_MS = 50;

const STOPPING = refuse(AnswerCode.Overloaded, `${STOP_REASON}; nothing ran`, STOPPING_COME_BACK_MS);

/** Statements of a stopping host end so long before their final answer is due, in milliseconds, so that what did not run is told apart from what may have. */
const FINAL_ANSWER_MS = 100;

/** What leaves an operation to come: a session does not end behind it. */
const PREPARES: ReadonlySet<Statement['kind']> = new Set(['set', 'prepare', 'forget']);

/** Creates a session. */
export function createCallerSession({parts, channel, getBudget, lookAgain, getStopPlan}: CallerSessionOptions): CallerSession {
	const {clock, elapsedClock, log, metrics, mirror} = parts;
	let memory = createSessionMemory('');
	let transaction: CallerTransaction | undefined;
	let transactionRoute: Route | undefined;
	/** Of the statement under way, or of the transaction that it belongs to. */
	let trace = createStatementTrace();
	let busy = false;
	let leaving = false;
	let lastCalled = false;
	let opened = false;
	let farewell: Farewell | undefined;
	/** Ends the wait for the answer to the statement under way. */
	let stopWaiting: (() => void) | undefined;
	let givenUp = false;
	let idleTimer: SleepAlarm | undefined;

	const isWanted = () => !channel.left && !givenUp;

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

		if (!mayBegin(getStopPlan(), clock.now())) {
			return STOPPING;
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

		const plan = getStopPlan();
		const until = Math.min(clock.now() + route.statementTimeoutMs, (plan?.answerBy ?? Number.POSITIVE_INFINITY) - FINAL_ANSWER_MS);
		if (transaction) {
			return transaction.run(id, statement, until);
		}

		const shape = getShape(memory, statement);
		if (!shape) {
			return refuse(AnswerCode.UnknownStatement, 'no statement has that name');
		}

		if (!mayTake(plan, route, shape.access, clock.now())) {
			return STOPPING;
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

	/**
	 * Guards against a statement that is cut off with the process, which its caller would see as a connection that just ends: whatever it waits for, once the
	 * plan of the stop says so it gets the answer that is true of anything given up.
	 */
	const handleInTime = async (req: IdentifiedStatement): Promise<StatementResult> => {
		const overdue = new Promise<undefined>(resolve => {
			stopWaiting = () => {
				resolve(undefined);
			};
		});
		const result = await Promise.race([handle(req), overdue]);
		stopWaiting = undefined;
		return result ?? abandon(req.statement);
	};

	const abandon = (statement: Statement): StatementResult => {
		givenUp = true;
		if (statement.kind === 'commit') {
			endTransaction();
			return refuse(AnswerCode.OutcomeUnknown, 'the host is stopping and the commit has no answer');
		}

		if (transaction) {
			transaction.abort(STOP_REASON);
			return refuse(AnswerCode.Aborted, STOP_REASON);
		}

		const shape = statement.kind === 'run' || statement.kind === 'execute' ? getShape(memory, statement) : undefined;
		return shape?.access === Access.Write
			? refuse(AnswerCode.OutcomeUnknown, 'the host is stopping and the write has no answer')
			: refuse(AnswerCode.Overloaded, `${STOP_REASON}; the read left nothing behind`, STOPPING_COME_BACK_MS);
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
		const result = await handleInTime(req);
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

	/** Tells a caller that has nothing under way that the session ends. */
	const dismiss = () => {
		const reason = transaction ? refuse(AnswerCode.Aborted, STOP_REASON) : STOPPING;
		transaction?.abort(STOP_REASON);
		transaction?.rollback();
		farewell ??= createFarewell(channel, reason, transaction !== undefined);
		endTransaction();
	};

	const open = async (): Promise<boolean> => {
		const req = await channel.next();
		if (farewell) {
			return false;
		}

		busy = true;
		const opens = await admit(req);
		busy = false;
		return opens;
	};

	/** Opens the session where its first request is one that may. */
	const admit = async (req: CallerRequest | undefined): Promise<boolean> => {
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

		if (isPastLastCall(getStopPlan(), clock.now())) {
			log.info('a session was refused: the host is stopping', {database: req.database});
			channel.refuse(STOPPING.end.code, STOPPING.end.text);
			return false;
		}

		memory = createSessionMemory(req.database);
		channel.greet();
		opened = true;
		return true;
	};

	const serveAll = async () => {
		for (;;) {
			const req = await channel.next();
			if (!req || req.kind === 'end') {
				return;
			}

			if (req.kind !== 'statement') {
				channel.refuse(req.kind === 'too-large' ? AnswerCode.TooLarge : AnswerCode.Malformed, 'the message is not understood');
				return;
			}

			if (farewell) {
				observe(req, farewell.refuse(req.statement), 0);
				continue;
			}

			busy = true;
			await serve(req);
			busy = false;
			if (isOver(req.statement)) {
				dismiss();
			}
		}
	};

	/** Whether a session that is to end may end behind the answer to this statement. */
	const isOver = ({kind}: Statement) => {
		if (channel.waiting) {
			return false;
		}

		const goesOn = transaction !== undefined || PREPARES.has(kind);
		return lastCalled || (leaving && !goesOn);
	};

	return {
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
			if (opened && !busy && !transaction && !channel.waiting) {
				dismiss();
			}
		},
		callLast() {
			leaving = true;
			lastCalled = true;
			if (busy || channel.waiting) {
				transaction?.abort(STOP_REASON);
			} else {
				dismiss();
			}
		},
		giveUp() {
			stopWaiting?.();
		},
	};
}
