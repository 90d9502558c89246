import ModernError from 'modern-errors';

/** Thrown for an invalid command line; the program ends with its message. */
export const ProxyUsageError = ModernError.subclass('ProxyUsageError');

/** @internal */
export function throwProxyUsage(why: string): never {
	throw new ProxyUsageError(why);
}
