import ModernError from 'modern-errors';

/** The platform gave no usable response; a requested change may have taken effect. */
export const PlatformError = ModernError.subclass('PlatformError');

/** The platform refused the call as malformed or too large; nothing changed, and a retry cannot succeed. */
export const PlatformRefusedError = PlatformError.subclass('PlatformRefusedError');

/** The object's version was not the expected one; nothing changed. */
export const PlatformConflictError = ModernError.subclass('PlatformConflictError');

/** @internal */
export function throwPlatformSilent(call: string, cause?: unknown): never {
	throw new PlatformError(`the platform gave no answer to ${call}`, {cause});
}

/** @internal */
export function throwVersionConflict(kind: string, name: string, expected: number): never {
	throw new PlatformConflictError(`${kind} ${name} is no longer at version ${expected}`);
}

/** @internal */
export function throwPlatformRefused(call: string, reason: string): never {
	throw new PlatformRefusedError(`the platform refused ${call}: ${reason}`);
}
