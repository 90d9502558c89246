import ModernError from 'modern-errors';

/** The settings file cannot be used; the program ends with its message. */
export const BootSettingsError = ModernError.subclass('BootSettingsError');

/** @internal */
export function throwSettingsWrong(faults: readonly string[]): never {
	throw new BootSettingsError(`the settings cannot be used: ${faults.join('; ')}`);
}

/** @internal */
export function throwSettingsUnreadable(why: string, cause?: unknown): never {
	throw new BootSettingsError(`the settings cannot be read: ${why}`, {cause});
}
