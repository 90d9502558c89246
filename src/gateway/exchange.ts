import type {StatementKey} from '../endpoint-load/service-times.js';
import {LinkError} from '../links/link-errors.js';
import type {EndpointRequest} from '../links/endpoint-link.js';
import type {NeededSession, SessionRequest} from '../links/link-session.js';
import {ObservedOutcome} from '../outliers/group-outliers.js';
import {
	type Access, SessionState, type PreparedShape, type Statement,
} from '../statements/statement.js';
import {getShapeKey} from '../statements/shape-key.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {withinMs} from '../time/deadline.js';
import type {GatewayParts} from './gateway-parts.js';
import type {AcquiredLink} from './acquire-link.js';
import type {SessionMemory} from './session-memory.js';

/** A request without an answer counts against its endpoint where it had at least this time, and this many times the usual time of its statement, in milliseconds. */
const MIN_LOST_MS = 150;
const LOST_FACTOR = 6;

/** Minimum share of the time until an answer that counts as the time of the statement, whatever wait was predicted. */
const MIN_SERVICE_SHARE = 0.2;

/** A statement that an endpoint has to run. */
export type EndpointStatement = Extract<Statement, {kind: 'run' | 'execute'}>;

/** Returns whether a statement reads or writes, and the shape that must be prepared for it; undefined where its prepared name is unknown. */
export function getShape(memory: SessionMemory, statement: EndpointStatement): {readonly access: Access; readonly prepared?: PreparedShape} | undefined {
	if (statement.kind === 'run') {
		return {access: statement.access};
	}

	const prepared = memory.prepared.get(statement.name);
	return prepared && {access: prepared.access, prepared};
}

/**
 * Applies the session's values and prepared shape to the connection and sends a statement. Resolves with the answer, or cuts the connection and resolves with
 * undefined where no whole answer came in time.
 */
export async function exchangeStatement(parts: GatewayParts, acquired: AcquiredLink, memory: SessionMemory, options: {
	readonly id: string;
	readonly statement: EndpointStatement;
	readonly floor?: EndpointRequest['floor'];
	readonly timeoutMs: number;
}): Promise<EndpointAnswer | undefined> {
	const {id, statement, floor, timeoutMs} = options;
	const prepared = getShape(memory, statement)?.prepared;
	const command = statement.kind === 'run' ? {kind: 'run', text: statement.text} as const : {kind: 'execute', args: statement.args} as const;
	return exchangeWithin(parts, acquired, {id, command, floor}, {
		timeoutMs,
		needed: {values: memory.values, prepared},
		statement: {group: acquired.endpoint.entry.group, database: memory.database, shape: prepared && getShapeKey(prepared)},
	});
}

/** How a request is sent. */
export type ExchangeOptions = {
	readonly timeoutMs: number;
	/** What has to be set and prepared first; undefined for a rollback by the host itself, which depends on neither. */
	readonly needed?: NeededSession;
	/** The statement that is sent; undefined for begin, commit and rollback. */
	readonly statement?: StatementKey;
};

/** Sends a request. Resolves with the answer, or cuts the connection and resolves with undefined where no whole answer came in `timeoutMs` milliseconds. */
export async function exchangeWithin(parts: GatewayParts, acquired: AcquiredLink, req: SessionRequest, {timeoutMs, needed, statement}: ExchangeOptions): Promise<EndpointAnswer | undefined> {
	const {clock, elapsedClock, knowledge, primaryLeases, estimates} = parts;
	const {lease, endpoint} = acquired;
	const sentAt = clock.now();
	const sampledAt = elapsedClock.elapsed();
	const isSample = lease !== undefined && primaryLeases.holds(lease, sampledAt);
	const noteSentEnded = estimates?.noteSent(endpoint.entry.id, sentAt);
	let answer: EndpointAnswer | undefined;
	let isReset = false;
	try {
		const bounded = await withinMs(clock, timeoutMs, acquired.sessionLink.exchange(req, needed));
		answer = bounded.timedOut ? undefined : bounded.value;
	} catch (err) {
		if (!(err instanceof LinkError)) {
			throw err;
		}

		isReset = true;
	} finally {
		noteSentEnded?.();
	}

	if (!answer) {
		noteEnded(isReset ? ObservedOutcome.Reset : getLostOutcome());
		acquired.sessionLink.link.cut();
		return undefined;
	}

	acquired.state = answer.state;
	noteAnswer(answer);
	noteEnded(getOutcome(answer), answer);
	return answer;

	/** An endpoint that had little time for its answer has not failed. */
	function getLostOutcome() {
		const enoughMs = Math.max(MIN_LOST_MS, acquired.predictedWaitMs + (LOST_FACTOR * (statement && estimates ? estimates.getUsualMs(statement) : 0)));
		return timeoutMs >= enoughMs ? ObservedOutcome.Lost : undefined;
	}

	function noteEnded(outcome: ObservedOutcome | undefined, ended?: EndpointAnswer) {
		const now = clock.now();
		estimates?.noteEnded({
			entry: endpoint.entry,
			outcome,
			statement,
			tookMs: Math.max(now - sentAt - acquired.predictedWaitMs, (now - sentAt) * MIN_SERVICE_SHARE),
			laggingFloor: ended?.end.kind === 'error' && ended.end.code === AnswerCode.Lagging ? req.floor : undefined,
			reachedInMs: ended?.reachedInMs,
			held: lease === undefined && ended?.state === SessionState.Idle ? ended.position : undefined,
			now,
			elapsed: elapsedClock.elapsed(),
		});
	}

	function noteAnswer({
		end, position, state, unsent,
	}: EndpointAnswer) {
		const stats = knowledge.getStats(endpoint.entry.id);
		const isLagging = end.kind === 'error' && end.code === AnswerCode.Lagging;
		if (!isLagging && !unsent && (req.command.kind === 'run' || req.command.kind === 'execute')) {
			stats.noteAnswer(clock.now() - sentAt);
		}

		// Inside a transaction the position may still be the one at its begin.
		if (position && state === SessionState.Idle) {
			stats.noteHeld(elapsedClock.elapsed(), position);
		}

		if (isSample && position && state === SessionState.Idle) {
			knowledge.getSamples(lease.group).note(sampledAt, position);
		}
	}
}

/** Returns what an answer tells about its endpoint; undefined where that is nothing, as for a refusal. */
function getOutcome({end}: EndpointAnswer): ObservedOutcome | undefined {
	if (end.kind === 'complete') {
		return ObservedOutcome.Answered;
	}

	return end.code === AnswerCode.Failed || end.code === AnswerCode.TimedOut ? ObservedOutcome.Failed : undefined;
}
