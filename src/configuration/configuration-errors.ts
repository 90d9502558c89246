import ModernError from 'modern-errors';

/** A question about a group that no configuration in force answers. */
export const ConfigurationError = ModernError.subclass('ConfigurationError');

/** @internal */
export function throwGroupUnknown(name: string): never {
	throw new ConfigurationError(`no group "${name}" is configured`);
}
