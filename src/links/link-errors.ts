import ModernError from 'modern-errors';
import type {AnswerCode} from '../statements/statement-answer.js';

/** A link to an endpoint failed. */
export const LinkError = ModernError.subclass('LinkError');

/** The connection ended, or was silent for too long; what was sent may have run. */
export const LinkLostError = LinkError.subclass('LinkLostError');

/** The endpoint refused the session; nothing was sent on it. */
export const LinkRefusedError = LinkError.subclass('LinkRefusedError', {
	props: {code: 'overloaded' as AnswerCode},
});

/** Narrows to a LinkRefusedError. */
export function isLinkRefused(err: unknown): err is InstanceType<typeof LinkRefusedError> & {code: AnswerCode} {
	return err instanceof LinkRefusedError;
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
export function throwUnexpectedAnswer(address: string, what: string): never {
	throw new LinkError(`${address} answered ${what} in a way that is not understood`);
}
