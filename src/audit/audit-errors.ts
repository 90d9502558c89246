import ModernError from 'modern-errors';

/** An object in the platform that is not what its kind says. */
export const AuditError = ModernError.subclass('AuditError');

/** @internal */
export function throwNotAudited(what: string, cause?: unknown): never {
	throw new AuditError(`the platform holds no ${what} that this version can read`, {cause});
}
