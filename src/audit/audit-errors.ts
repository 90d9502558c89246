import ModernError from 'modern-errors';

/** An object in the platform whose value does not match the schema of its kind. */
export const AuditError = ModernError.subclass('AuditError');

/** @internal */
export function throwUnreadableObject(description: string, cause?: unknown): never {
	throw new AuditError(`the platform holds no ${description} that this version can read`, {cause});
}
