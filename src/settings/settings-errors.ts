import ModernError from 'modern-errors';

/** A setting that is unknown, missing, malformed or repeated; the message is one line that names it. */
export const SettingsError = ModernError.subclass('SettingsError');

/** @internal */
export function throwSettingUnknown(name: string): never {
	throw new SettingsError(`${name}: no such setting`);
}

/** @internal */
export function throwSettingMissing(names: string): never {
	throw new SettingsError(`${names}: missing`);
}

/** @internal */
export function throwSettingRepeated(name: string): never {
	throw new SettingsError(`${name}: given more than once`);
}

/** @internal */
export function throwSettingMalformed(name: string, problem: string): never {
	throw new SettingsError(`${name}: ${problem}`);
}
