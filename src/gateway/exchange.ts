import {LinkError} from '../links/link-errors.js';
import type {EndpointRequest} from '../links/endpoint-link.js';
import {
	type Access, SessionState, type PreparedShape, type Statement,
} from '../statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {withinMs} from '../time/deadline.js';
import type {GatewayParts} from './gateway-parts.js';
import type {AcquiredLink} from './acquire-link.js';
import type {SessionMemory} from './session-memory.js';

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
	acquired.sessionLink.adapt({values: memory.values, prepared});
	const command = statement.kind === 'run'
		? {kind: 'run', text: statement.text} as const
		: {kind: 'execute', name: prepared ? acquired.sessionLink.getName(prepared) : statement.name, args: statement.args} as const;
	return exchangeWithin(parts, acquired, {id, command, floor}, timeoutMs);
}

/** Sends a request. Resolves with the answer, or cuts the connection and resolves with undefined where no whole answer came in `timeoutMs` milliseconds. */
export async function exchangeWithin(parts: GatewayParts, acquired: AcquiredLink, req: EndpointRequest, timeoutMs: number): Promise<EndpointAnswer | undefined> {
	const {clock, elapsedClock, knowledge, primaryLeases} = parts;
	const {lease, endpoint} = acquired;
	const sentAt = clock.now();
	const sampledAt = elapsedClock.elapsed();
	const isSample = lease !== undefined && primaryLeases.holds(lease, sampledAt);
	let answer: EndpointAnswer | undefined;
	try {
		const bounded = await withinMs(clock, timeoutMs, acquired.sessionLink.link.exchange(req));
		answer = bounded.timedOut ? undefined : bounded.value;
	} catch (err) {
		if (!(err instanceof LinkError)) {
			throw err;
		}
	}

	if (!answer) {
		acquired.sessionLink.link.cut();
		return undefined;
	}

	acquired.state = answer.state;
	noteAnswer(answer);
	return answer;

	function noteAnswer({end, position, state}: EndpointAnswer) {
		const stats = knowledge.getStats(endpoint.entry.id);
		const isLagging = end.kind === 'error' && end.code === AnswerCode.Lagging;
		if (!isLagging && (req.command.kind === 'run' || req.command.kind === 'execute')) {
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
