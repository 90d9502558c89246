import ModernError from 'modern-errors';

/** The command line is invalid; nothing was sent. */
export const UsageError = ModernError.subclass('UsageError');

/** No host gave an answer; a change may have taken effect. */
export const UnreachableError = ModernError.subclass('UnreachableError');

/** @internal */
export function throwUsage(problem: string): never {
	throw new UsageError(problem);
}

/** @internal */
export function throwUnreachable(urls: readonly string[], changeId: string): never {
	throw new UnreachableError(`no answer from ${urls.join(', ')}; a change may have taken effect, "show changes" lists it under ${changeId}`);
}
