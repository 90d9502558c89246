import {Buffer} from 'node:buffer';

/** Characters that are not sent as they are: blanks, line ends, what has no byte of its own in Latin-1, and a percent sign that would be read as an encoded byte. */
const ENCODED = /[^!-~\u00A1-\u00FF]|%(?=[\dA-F]{2})/gv;

/**
 * Returns a name as one field of a message. The characters that cannot stand in a field are replaced by the bytes of their UTF-8, each as a percent sign and two hexadecimal digits, so that different names
 * stay different.
 */
export function formatLineField(name: string): string {
	return name.replaceAll(ENCODED, character => Buffer.from(character).toString('hex').toUpperCase().replaceAll(/../gv, '%$&'));
}
