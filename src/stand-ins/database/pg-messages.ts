import {Buffer} from 'node:buffer';

/**
 * The messages of the PostgreSQL protocol, version 3, that the stand-in server needs. Every answer with rows is one
 * row of one json column.
 */

/** Type bytes of the messages that a client sends. */
export const FrontendMessage = {
	Bind: 'B',
	Close: 'C',
	Describe: 'D',
	Execute: 'E',
	Flush: 'H',
	Parse: 'P',
	Password: 'p',
	Query: 'Q',
	Sync: 'S',
	Terminate: 'X',
} as const;

/** Protocol versions and request codes in the first message of a connection. */
export const StartupCode = {
	Protocol3: 196_608,
	Ssl: 80_877_103,
} as const;

/** A message from the client; the first one has no type byte. */
export type ClientMessage = {readonly type: string; readonly body: Uint8Array};

/** The transaction status of a connection, as sent in ReadyForQuery. */
export const TransactionStatus = {
	Idle: 'I',
	Open: 'T',
	Failed: 'E',
} as const;

/** One of the states in {@link TransactionStatus}. */
export type TransactionStatus = typeof TransactionStatus[keyof typeof TransactionStatus];

const JSON_TYPE_ID = 114;
const TYPE_BYTES = 1;
const LENGTH_BYTES = 4;

/** The answer that refuses an SSLRequest. */
export const SSL_REFUSED = Buffer.from('N');

/** AuthenticationOk. */
export const AUTHENTICATION_OK = encodeMessage('R', encodeInt32(0));

/** AuthenticationCleartextPassword. */
export const PASSWORD_REQUESTED = encodeMessage('R', encodeInt32(3));

/** ParseComplete. */
export const PARSE_COMPLETE = encodeMessage('1');

/** BindComplete. */
export const BIND_COMPLETE = encodeMessage('2');

/** CloseComplete. */
export const CLOSE_COMPLETE = encodeMessage('3');

/** NoData. */
export const NO_DATA = encodeMessage('n');

/** RowDescription of the one json column. */
export const ROW_DESCRIPTION = encodeMessage('T', encodeRowDescription('answer'));

/** ParameterStatus. */
export function encodeParameter(name: string, value: string): Uint8Array {
	return encodeMessage('S', Buffer.from(`${name}\0${value}\0`));
}

/** DataRow with one value as text. */
export function encodeDataRow(text: string): Uint8Array {
	const length = Buffer.byteLength(text);
	const message = Buffer.allocUnsafe(TYPE_BYTES + LENGTH_BYTES + 2 + LENGTH_BYTES + length);
	message.write('D', 0);
	message.writeInt32BE(message.length - TYPE_BYTES, 1);
	message.writeInt16BE(1, 5);
	message.writeInt32BE(length, 7);
	message.write(text, 11);
	return message;
}

/** CommandComplete. */
export function encodeCommandComplete(tag: string): Uint8Array {
	return encodeMessage('C', Buffer.from(`${tag}\0`));
}

/** ReadyForQuery. */
export function encodeReady(status: TransactionStatus): Uint8Array {
	return encodeMessage('Z', Buffer.from(status));
}

/** ErrorResponse. */
export function encodeError(severity: 'ERROR' | 'FATAL', code: string, message: string): Uint8Array {
	return encodeMessage('E', Buffer.from(`S${severity}\0V${severity}\0C${code}\0M${message}\0\0`));
}

/** Decodes the parameters of a startup message. */
export function decodeStartup(body: Uint8Array): ReadonlyMap<string, string> {
	const fields = toBuffer(body).toString('utf8', LENGTH_BYTES).split('\0');
	const parameters = new Map<string, string>();
	for (let i = 0; i + 1 < fields.length; i += 2) {
		parameters.set(fields[i]!, fields[i + 1]!);
	}

	return parameters;
}

/** Decodes a zero-terminated string and returns it with the offset of the next field. */
export function decodeString(body: Uint8Array, start: number): {readonly text: string; readonly next: number} {
	const end = body.indexOf(0, start);
	return {text: toBuffer(body).toString('utf8', start, end), next: end + 1};
}

/** A Bind message: the name of a prepared statement and its parameters as text. */
export type BindMessage = {readonly statement: string; readonly values: ReadonlyArray<string | undefined>};

/** Decodes a Bind message; parameters in binary format are not supported. */
export function decodeBind(body: Uint8Array): BindMessage {
	const portal = decodeString(body, 0);
	const statement = decodeString(body, portal.next);
	const buffer = toBuffer(body);
	const formats = buffer.readInt16BE(statement.next);
	let offset = statement.next + 2 + (2 * formats);
	const count = buffer.readInt16BE(offset);
	offset += 2;
	const values: Array<string | undefined> = [];
	for (let i = 0; i < count; i++) {
		const length = buffer.readInt32BE(offset);
		offset += LENGTH_BYTES;
		values.push(length < 0 ? undefined : buffer.toString('utf8', offset, offset + length));
		offset += Math.max(0, length);
	}

	return {statement: statement.text, values};
}

/** Decodes the protocol version or request code at the start of a startup message. */
export function decodeStartupCode(body: Uint8Array): number {
	return toBuffer(body).readInt32BE(0);
}

/** Returns the same bytes as a Node.js buffer, without copying them. */
function toBuffer(bytes: Uint8Array) {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}

function encodeMessage(type: string, body: Uint8Array = new Uint8Array()): Uint8Array {
	return Buffer.concat([Buffer.from(type), encodeInt32(body.length + LENGTH_BYTES), body]);
}

function encodeInt32(value: number): Uint8Array {
	const bytes = Buffer.alloc(LENGTH_BYTES);
	bytes.writeInt32BE(value);
	return bytes;
}

function encodeRowDescription(name: string): Uint8Array {
	const column = Buffer.alloc(18);
	column.writeInt32BE(JSON_TYPE_ID, 6);
	column.writeInt16BE(-1, 10);
	column.writeInt32BE(-1, 12);
	return Buffer.concat([Buffer.from([0, 1]), Buffer.from(`${name}\0`), column]);
}
