import ModernError from 'modern-errors';

/** A fault in how the daemon's services are put together. */
export const KernelError = ModernError.subclass('KernelError');

/** @internal */
export function throwServiceMissing(name: string): never {
	throw new KernelError(`no service is registered as "${name}"`);
}

/** @internal */
export function throwServiceTwice(name: string): never {
	throw new KernelError(`a service is registered as "${name}" already`);
}
