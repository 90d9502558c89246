import {LinkError} from '../links/link-errors.js';
import type {EndpointRequest} from '../links/endpoint-link.js';
import {
	type Access, SessionState, type PreparedShape, type Statement,
} from '../statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {withinMs} from '../time/deadline.js';
import type {GatewayParts} from './gateway-parts.js';
import type {LentLink} from './lend-link.js';
import type {SessionMemory} from './session-memory.js';

/** A statement that an endpoint has to run. */
export type EndpointStatement = Extract<Statement, {kind: 'run' | 'execute'}>;

/** What a statement does, and the shape it needs prepared; undefined where its prepared name is unknown. */
export function getShape(memory: SessionMemory, statement: EndpointStatement): {readonly access: Access; readonly prepared?: PreparedShape} | undefined {
	if (statement.kind === 'run') {
		return {access: statement.access};
	}

	const prepared = memory.prepared.get(statement.name);
	return prepared && {access: prepared.access, prepared};
}

/** Sends a statement, with what its session needs ahead of it; undefined where no whole answer came in time, upon which the connection is cut. */
export async function exchangeStatement(parts: GatewayParts, lent: LentLink, memory: SessionMemory, options: {
	readonly id: string;
	readonly statement: EndpointStatement;
	readonly floor?: EndpointRequest['floor'];
	readonly timeoutMs: number;
}): Promise<EndpointAnswer | undefined> {
	const {id, statement, floor, timeoutMs} = options;
	const prepared = getShape(memory, statement)?.prepared;
	lent.sessionLink.adapt({values: memory.values, prepared});
	const command = statement.kind === 'run'
		? {kind: 'run', text: statement.text} as const
		: {kind: 'execute', name: prepared ? lent.sessionLink.getName(prepared) : statement.name, args: statement.args} as const;
	return exchangeWithin(parts, lent, {id, command, floor}, timeoutMs);
}

/** Sends a request; undefined where no whole answer came in time, upon which the connection is cut. */
export async function exchangeWithin(parts: GatewayParts, lent: LentLink, req: EndpointRequest, timeoutMs: number): Promise<EndpointAnswer | undefined> {
	const {clock, elapsedClock, knowledge, evidences} = parts;
	const {evidence, endpoint} = lent;
	const sentAt = clock.now();
	const sampledAt = elapsedClock.elapsed();
	const isSample = evidence !== undefined && evidences.holds(evidence, sampledAt);
	let answer: EndpointAnswer | undefined;
	try {
		const bounded = await withinMs(clock, timeoutMs, lent.sessionLink.link.exchange(req));
		answer = bounded.timedOut ? undefined : bounded.value;
	} catch (err) {
		if (!(err instanceof LinkError)) {
			throw err;
		}
	}

	if (!answer) {
		lent.sessionLink.link.cut();
		return undefined;
	}

	lent.state = answer.state;
	noteAnswer(answer);
	return answer;

	function noteAnswer({end, position, state}: EndpointAnswer) {
		const figures = knowledge.getFigures(endpoint.entry.id);
		const isLagging = end.kind === 'error' && end.code === AnswerCode.Lagging;
		if (!isLagging && (req.command.kind === 'run' || req.command.kind === 'execute')) {
			figures.noteAnswer(clock.now() - sentAt);
		}

		// Inside a transaction the position may be that of its begin.
		if (position && state === SessionState.Idle) {
			figures.noteHeld(elapsedClock.elapsed(), position);
		}

		if (isSample && position && state === SessionState.Idle) {
			knowledge.getSamples(evidence.group).note(sampledAt, position);
		}
	}
}
