const NOT_PRINTABLE = /[^ -~]/gv;

/** Returns a text that may stand in a message to a caller: each character that is not printable ASCII is replaced by its code point, since its low byte alone may end the message. */
export function getPrintableText(text: string): string {
	return text.replaceAll(NOT_PRINTABLE, character => `\\u{${character.codePointAt(0)!.toString(16)}}`);
}
