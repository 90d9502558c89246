import ModernError from 'modern-errors';

/** A syntax error in a command; `column` counts from 1. */
export const LanguageError = ModernError.subclass('LanguageError', {
	props: {column: 1, expected: '', found: ''},
});

/** Returns whether an error is a LanguageError. */
export function isLanguageError(err: unknown): err is InstanceType<typeof LanguageError> & SyntaxErrorDetails {
	return err instanceof LanguageError;
}

/** The position of a syntax error and what was expected there. */
export type SyntaxErrorDetails = {
	/** Column of the first unexpected character, from 1. */
	readonly column: number;
	readonly expected: string;
	/** The text found there; empty at the end of the command. */
	readonly found: string;
};

/** @internal */
export function throwUnexpectedToken(details: SyntaxErrorDetails): never {
	throw new LanguageError(`column ${details.column}: expected ${details.expected}`, {props: details});
}
