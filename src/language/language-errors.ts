import ModernError from 'modern-errors';

/** A command that is not one; `column` counts from 1. */
export const LanguageError = ModernError.subclass('LanguageError', {
	props: {column: 1, expected: '', found: ''},
});

/** Narrows to a LanguageError. */
export function isLanguageError(err: unknown): err is InstanceType<typeof LanguageError> & WrongPlace {
	return err instanceof LanguageError;
}

/** Where a command is wrong and what was expected there. */
export type WrongPlace = {
	/** Column of the first character that does not belong, from 1. */
	readonly column: number;
	readonly expected: string;
	/** The text found there, empty at the end. */
	readonly found: string;
};

/** @internal */
export function throwNotExpected(place: WrongPlace): never {
	throw new LanguageError(`column ${place.column}: expected ${place.expected}`, {props: place});
}
