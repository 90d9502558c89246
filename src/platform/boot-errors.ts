import ModernError from 'modern-errors';

/** Thrown when the settings file cannot be read or is invalid; the program prints the message and exits. */
export const BootSettingsError = ModernError.subclass('BootSettingsError');

/** @internal */
export function throwBootSettingsInvalid(faults: readonly string[]): never {
	throw new BootSettingsError(`the settings cannot be used: ${faults.join('; ')}`);
}

/** @internal */
export function throwBootSettingsUnreadable(reason: string, cause?: unknown): never {
	throw new BootSettingsError(`the settings cannot be read: ${reason}`, {cause});
}
