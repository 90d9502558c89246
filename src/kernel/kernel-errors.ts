import ModernError from 'modern-errors';

/** Thrown when the daemon's services are registered or looked up incorrectly. */
export const KernelError = ModernError.subclass('KernelError');

/** @internal */
export function throwServiceMissing(name: string): never {
	throw new KernelError(`no service is registered as "${name}"`);
}

/** @internal */
export function throwServiceAlreadyRegistered(name: string): never {
	throw new KernelError(`a service is registered as "${name}" already`);
}
