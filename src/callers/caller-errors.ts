import ModernError from 'modern-errors';
import {RefusalCode} from '../refusals/refusal.js';

/** A caller's message that is not a valid request; `status` is the HTTP status of the response. */
export const CallerError = ModernError.subclass('CallerError', {
	props: {status: 400, code: RefusalCode.Malformed as RefusalCode},
});

/** A CallerError with its fields. */
export type CallerError = InstanceType<typeof CallerError> & {status: number; code: RefusalCode};

/** Reasons for the most common errors of the HTTP library, by its error code. */
const LIBRARY_REASONS: ReadonlyMap<string, string> = new Map([
	['FST_ERR_CTP_BODY_TOO_LARGE', 'body: larger than 1 MiB'],
	['FST_ERR_CTP_INVALID_MEDIA_TYPE', 'header "content-type": expected application/json'],
	['FST_ERR_CTP_INVALID_CONTENT_LENGTH', 'header "content-length": not the length of the body'],
]);

/** Converts an error of the HTTP library to a CallerError; returns undefined if the fault is not the caller's. */
export function toCallerError(err: unknown): CallerError | undefined {
	if (err instanceof CallerError) {
		return err;
	}

	const {statusCode: status, code, message} = err as {statusCode?: number; code?: string; message?: string};
	if (status === undefined || status < 400 || status >= 500) {
		return undefined;
	}

	const reason = LIBRARY_REASONS.get(code ?? '') ?? message ?? 'not a request';
	return new CallerError(reason, {props: {status}});
}

/** @internal */
export function throwMalformed(reason: string, status = 400): never {
	throw new CallerError(reason, {props: {status}});
}

/** @internal */
export function throwBadSessionHeader(reason: string): never {
	throw new CallerError(`header "aldercroft-session": ${reason}`, {props: {code: RefusalCode.BadToken}});
}
