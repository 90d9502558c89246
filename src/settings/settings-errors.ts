import ModernError from 'modern-errors';

/** Thrown for a setting that is unknown, missing, malformed or repeated. The message is one line that names the setting. */
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
