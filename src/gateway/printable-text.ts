const NOT_PRINTABLE = /[^ -~]/gv;

/** Maximum number of characters that are kept; the reasons of refusals have up to about 200. */
const MAX_LENGTH = 1000;

/**
 * Returns a text that may stand in a message to a caller. Each character that is not printable ASCII is replaced by its code point, since its low byte alone may end the message; what exceeds the
 * maximum length is left out.
 */
export function getPrintableText(text: string): string {
	return text.slice(0, MAX_LENGTH).replaceAll(NOT_PRINTABLE, character => `\\u{${character.codePointAt(0)!.toString(16)}}`);
}
