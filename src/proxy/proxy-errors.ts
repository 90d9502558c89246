import ModernError from 'modern-errors';

/** The command line cannot be used; the program ends with its message. */
export const ProxyUsageError = ModernError.subclass('ProxyUsageError');

/** @internal */
export function throwProxyUsage(why: string): never {
	throw new ProxyUsageError(why);
}
