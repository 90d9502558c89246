import ModernError from 'modern-errors';

/** The requested group has no configuration in force. */
export const ConfigurationError = ModernError.subclass('ConfigurationError');

/** @internal */
export function throwGroupUnknown(name: string): never {
	throw new ConfigurationError(`no group "${name}" is configured`);
}
