import ModernError from 'modern-errors';
import {AnswerCode} from '../statements/statement-answer.js';

/** Base class of the errors of a link to an endpoint. */
export const LinkError = ModernError.subclass('LinkError');

/** Error of a connection that ended, or was silent for too long; requests that were sent may have run. */
export const LinkLostError = LinkError.subclass('LinkLostError');

/** Error of a session that the endpoint refused; nothing was sent on it. */
export const LinkRefusedError = LinkError.subclass('LinkRefusedError', {
	props: {code: 'overloaded' as AnswerCode},
});

/** Narrows to a LinkRefusedError. */
export function isLinkRefused(err: unknown): err is InstanceType<typeof LinkRefusedError> & {code: AnswerCode} {
	return err instanceof LinkRefusedError;
}

/** Returns whether the endpoint refused a session because it has too many connections, or too much work waits. */
export function isLimitReached(err: unknown): boolean {
	return isLinkRefused(err) && (err.code === AnswerCode.TooManyConnections || err.code === AnswerCode.Overloaded);
}

/** @internal */
export function createLinkLost(address: string, why: string, cause?: unknown): Error {
	return new LinkLostError(`the link to ${address} was lost: ${why}`, {cause});
}

/** @internal */
export function createLinkRefused(address: string, code: AnswerCode): Error {
	return new LinkRefusedError(`${address} refused a session: ${code}`, {props: {code}});
}

/** @internal */
export function throwSessionNeeded(address: string): never {
	throw new LinkError(`a prepared statement at ${address} is run by its session, which knows its name`);
}

/** @internal */
export function throwUnexpectedAnswer(address: string, requestKind: string): never {
	throw new LinkError(`${address} sent an unexpected answer to ${requestKind}`);
}
