import type {RetryBudget} from '../retries/retry-budget.js';
import type {Route} from '../routes/routing.js';
import {getShapeKey} from '../statements/shape-key.js';
import {
	Access, SessionState, type IdentifiedStatement, type Statement,
} from '../statements/statement.js';
import {AnswerCode} from '../statements/statement-answer.js';
import {createSleepAlarm, type SleepAlarm} from '../time/sleep-alarm.js';
import {getFingerprint} from '../workspaces/key-index.js';
import type {Workspace} from '../workspaces/workspace.js';
import {admitOperation, refuseInTransaction} from './admit-operation.js';
import {createAnswerWait} from './answer-wait.js';
import {createCallerTransaction, type CallerTransaction} from './caller-transaction.js';
import {getShape, type EndpointStatement} from './exchange.js';
import {createGracefulClose, type GracefulClose} from './graceful-close.js';
import {findRoute, type RouteLookup} from './find-route.js';
import type {GatewayParts} from './gateway-parts.js';
import {observeStatement} from './observe-statement.js';
import {openSession, type OpenSessionOptions} from './open-session.js';
import {createQueueTimeout} from './queue-timeout.js';
import {runRead} from './run-read.js';
import {runWrite} from './run-write.js';
import {
	createSessionMemory, MAX_SESSION_BYTES, MAX_SESSION_ENTRIES, rememberStatement,
} from './session-memory.js';
import {SessionPhase} from './session-phase.js';
import {createStatementTrace} from './statement-trace.js';
import {DONE, refuse, type StatementResult} from './statement-result.js';
import {
	getStoppedAnswer, STOP_REASON, STOPPED_COMMIT, STOPPED_TRANSACTION, STOPPING,
} from './stop-answers.js';
import {mayBegin, mayAccept} from './stop-plan.js';

/** A caller's session on its connection. */
export type CallerSession = {
	/** What the session is doing, for log lines. */
	readonly phase: SessionPhase;
	/** Serves the caller until it disconnects or the session is closed. */
	run(): Promise<void>;
	/** Ends the session as soon as no statement and no transaction is under way. */
	drain(): void;
	/** Rolls back an open transaction and ends the session, after the answer to a statement that is under way. */
	end(): void;
	/** Stops waiting for the statement that is under way and sends its final answer. */
	giveUp(): void;
};

/** Dependencies of a session. */
export type CallerSessionOptions = OpenSessionOptions & {
	readonly parts: GatewayParts;
	getBudget(group: string): RetryBudget;
};

/** Timeout of a commit whose route no longer exists, in milliseconds; without a route only commit and rollback are still run. */
const ROUTELESS_COMMIT_TIMEOUT_MS = 1000;

/** On a stopping host a statement times out this long before its final answer is due, in milliseconds, so that its result can still say whether it may have run. */
const FINAL_ANSWER_MARGIN_MS = 100;

/** Fingerprint of the key of a session that is not open yet. */
const NO_KEY = getFingerprint('');

const SESSION_FULL_REASON = `a session holds at most ${MAX_SESSION_ENTRIES} prepared statements, ${MAX_SESSION_ENTRIES} values and ${MAX_SESSION_BYTES} bytes; nothing was set or prepared`;

/** Answer to a session value or a prepared statement for which the session has no room. */
const SESSION_FULL = refuse(AnswerCode.TooLarge, SESSION_FULL_REASON);

/** Statements that prepare for a later one; a draining session stays open after them. */
const SETUP_KINDS: ReadonlySet<Statement['kind']> = new Set(['set', 'prepare', 'forget']);

/** Creates a session. */
export function createCallerSession({parts, channel, getBudget, getStopPlan}: CallerSessionOptions): CallerSession {
	const {clock, elapsedClock, mirror} = parts;
	let memory = createSessionMemory('', NO_KEY);
	let transaction: CallerTransaction | undefined;
	let transactionRoute: Route | undefined;
	/** Workspace for which the open transaction was begun. */
	let transactionWorkspace: Workspace | undefined;
	/** Trace of the statement under way, or of the transaction that it belongs to. */
	let trace = createStatementTrace();
	let busy = false;
	let draining = false;
	let ending = false;
	let opened = false;
	let closing: GracefulClose | undefined;
	const answerWait = createAnswerWait();
	let givenUp = false;
	let idleTimer: SleepAlarm | undefined;

	const isWanted = () => !channel.left && !givenUp;

	const getRoute = () => transactionRoute ?? mirror.state.routing?.routes.get(memory.database);

	const lookUpRoute = async (): Promise<RouteLookup> =>
		transactionRoute ? {found: true, route: transactionRoute} : findRoute(parts, memory.database, {isWanted: () => isWanted() && !getStopPlan()});

	/** Returns the time by which a statement that arrives now is answered within its route's target. */
	const getTargetAt = ({targetLatencyMs}: Route) => targetLatencyMs === 0 ? Number.POSITIVE_INFINITY : clock.now() + targetLatencyMs;

	const newTrace = (workspace?: Workspace) => {
		trace = createStatementTrace(workspace?.name);
		return trace;
	};

	const endTransaction = () => {
		transaction = undefined;
		transactionRoute = undefined;
		transactionWorkspace = undefined;
	};

	const getState = (): SessionState => transaction ? (transaction.failed ? SessionState.Failed : SessionState.Open) : SessionState.Idle;

	const begin = async (id: string, readOnly: boolean): Promise<StatementResult> => {
		const found = await lookUpRoute();
		if (!found.found) {
			return found.refusal;
		}

		const {route} = found;
		if (!mayBegin(getStopPlan(), route, clock.now())) {
			newTrace();
			return STOPPING;
		}

		const arrivedAt = elapsedClock.elapsed();
		const targetAt = getTargetAt(route);
		const admission = await admitOperation(parts, memory.fingerprint, route);
		if (!admission.admitted) {
			newTrace(admission.workspace);
			return admission.refusal;
		}

		const {workspace} = admission;
		transactionRoute = route;
		transactionWorkspace = workspace;
		transaction = createCallerTransaction({
			parts,
			beginId: id,
			readOnly,
			req: {
				route, memory, workspace, arrivedAt, targetAt, queueTimeout: createQueueTimeout(route), isWanted, trace: newTrace(workspace),
			},
		});
		return DONE;
	};

	/** Rolls back the open transaction and returns the refusal where its caller's key has been revoked or cannot be verified; returns undefined otherwise. */
	const getTransactionRefusal = (open: CallerTransaction, route: Route): StatementResult | undefined => {
		const refusal = refuseInTransaction(parts, memory.fingerprint, route, transactionWorkspace);
		if (refusal) {
			open.abort('the key of its caller is not good any more');
		}

		return refusal;
	};

	const runStatement = async (id: string, statement: EndpointStatement): Promise<StatementResult> => {
		const found = await lookUpRoute();
		if (!found.found) {
			return found.refusal;
		}

		const {route} = found;
		const arrivedAt = elapsedClock.elapsed();
		const targetAt = getTargetAt(route);
		const plan = getStopPlan();
		const until = Math.min(clock.now() + route.statementTimeoutMs, (plan?.answerBy ?? Number.POSITIVE_INFINITY) - FINAL_ANSWER_MARGIN_MS);
		if (transaction) {
			return getTransactionRefusal(transaction, route) ?? transaction.run(id, statement, until);
		}

		const shape = getShape(memory, statement);
		if (!shape) {
			return refuse(AnswerCode.UnknownStatement, 'no statement has that name');
		}

		if (!mayAccept(plan, route, shape.access, clock.now())) {
			newTrace();
			return STOPPING;
		}

		const admission = await admitOperation(parts, memory.fingerprint, route);
		if (!admission.admitted) {
			newTrace(admission.workspace);
			return admission.refusal;
		}

		const single = {
			id,
			statement,
			req: {
				route,
				memory,
				workspace: admission.workspace,
				arrivedAt,
				targetAt,
				until,
				queueTimeout: createQueueTimeout(route),
				single: true,
				statement: shape.prepared && getShapeKey(shape.prepared),
				isWanted,
				trace: newTrace(admission.workspace),
			},
		};
		return shape.access === Access.Read ? runRead(parts, getBudget(route.group), single) : runWrite(parts, getBudget(route.group), single);
	};

	const commit = async (id: string): Promise<StatementResult> => {
		if (!transaction) {
			return refuse(AnswerCode.Malformed, 'no transaction is open');
		}

		const route = getRoute();
		const denied = transactionRoute && getTransactionRefusal(transaction, transactionRoute);
		if (denied) {
			endTransaction();
			return denied;
		}

		const timeoutMs = route?.statementTimeoutMs ?? ROUTELESS_COMMIT_TIMEOUT_MS;
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
				return rememberStatement(memory, statement) ? DONE : SESSION_FULL;
			}
		}
	};

	/** Returns the final answer to a statement whose endpoint did not answer before the stopping host's last moment for answers. */
	const abandon = (statement: Statement): StatementResult => {
		givenUp = true;
		if (statement.kind === 'commit') {
			endTransaction();
			return STOPPED_COMMIT;
		}

		if (transaction) {
			transaction.abort(STOP_REASON);
			return STOPPED_TRANSACTION;
		}

		const isRun = statement.kind === 'run' || statement.kind === 'execute';
		return getStoppedAnswer(isRun ? getShape(memory, statement)?.access : undefined);
	};

	/** Rolls back a transaction that stays idle too long: it holds one of the endpoint's few connections. */
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
		const receivedAt = clock.now();
		idleTimer?.abort();
		const result = await answerWait.waitFor(handle(req)) ?? abandon(req.statement);
		observe(req, result, clock.now() - receivedAt);
		const state = getState();
		if (state === SessionState.Open) {
			void watchIdle();
		}

		await channel.answer(result, state);
	};

	const observe = (req: IdentifiedStatement, result: StatementResult, tookMs: number) => {
		observeStatement(parts, {
			req, result, tookMs, database: memory.database, route: getRoute(), trace,
		});
	};

	/** Notifies a caller that has nothing under way that its session ends. */
	const beginClose = () => {
		const reason = transaction ? STOPPED_TRANSACTION : STOPPING;
		transaction?.abort(STOP_REASON);
		transaction?.rollback();
		closing ??= createGracefulClose(channel, reason, transaction !== undefined);
		endTransaction();
	};

	const open = async (): Promise<boolean> => {
		const req = await channel.next();
		if (closing) {
			return false;
		}

		busy = true;
		const openedMemory = await openSession(parts, req, {channel, getStopPlan});
		busy = false;
		if (!openedMemory) {
			return false;
		}

		memory = openedMemory;
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

			if (closing) {
				newTrace();
				observe(req, closing.refuse(req.statement), 0);
				continue;
			}

			busy = true;
			await serve(req);
			busy = false;
			if (isOver(req.statement)) {
				beginClose();
			}
		}
	};

	/** Whether a session that is to end may end after the answer to this statement. */
	const isOver = ({kind}: Statement) => {
		if (channel.waiting) {
			return false;
		}

		const continues = transaction !== undefined || SETUP_KINDS.has(kind);
		return ending || (draining && !continues);
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
		drain() {
			draining = true;
			if (opened && !busy && !transaction && !channel.waiting) {
				beginClose();
			}
		},
		end() {
			draining = true;
			ending = true;
			if (busy || channel.waiting) {
				transaction?.abort(STOP_REASON);
			} else {
				beginClose();
			}
		},
		giveUp() {
			answerWait.giveUp();
		},
	};
}
