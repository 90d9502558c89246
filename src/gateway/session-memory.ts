import {Buffer} from 'node:buffer';
import type {PreparedShape, Statement} from '../statements/statement.js';
import type {LogPosition} from '../terms/log-position.js';
import type {KeyFingerprint} from '../workspaces/key-index.js';

/** State that lasts as long as a caller's session. */
export type SessionMemory = {
	readonly database: string;
	/** Fingerprint of the key that the caller presented. */
	readonly fingerprint: KeyFingerprint;
	/** Session values that the caller set. */
	readonly values: Map<string, string>;
	/** Prepared statements by the caller's own names. */
	readonly prepared: Map<string, PreparedShape>;
	/** For each group the log position of the session's last commit; the session's reads must not see an older state. */
	readonly floors: Map<string, LogPosition>;
};

/** Creates the memory of a new session. */
export function createSessionMemory(database: string, fingerprint: KeyFingerprint): SessionMemory {
	return {
		database: copyText(database), fingerprint, values: new Map(), prepared: new Map(), floors: new Map(),
	};
}

/** Maximum number of prepared statements in a session, and of session values. */
export const MAX_SESSION_ENTRIES = 500;

/** Maximum size of the names, values and shapes of a session together, in bytes: that of two messages, so that a single one always fits. */
export const MAX_SESSION_BYTES = 2_097_152;

/**
 * Records a session value or prepared statement that a caller set, prepared or dropped. Returns false, and records nothing, where the session would hold too much.
 *
 * Guards against a caller that fills the memory of a host with a session that it never uses.
 */
export function rememberStatement(memory: SessionMemory, statement: Extract<Statement, {kind: 'set' | 'prepare' | 'forget'}>): boolean {
	const {name} = statement;
	switch (statement.kind) {
		case 'set': {
			const {value} = statement;
			return hasRoom(memory, memory.values, name, value) && Boolean(memory.values.set(copyText(name), copyText(value)));
		}

		case 'prepare': {
			const {access, shape} = statement.shape;
			return hasRoom(memory, memory.prepared, name, shape) && Boolean(memory.prepared.set(copyText(name), {access, shape: copyText(shape)}));
		}

		case 'forget': {
			memory.prepared.delete(name);
			return true;
		}
	}
}

/** Returns whether a text may be recorded under the name, in place of what is recorded there. */
function hasRoom(memory: SessionMemory, entries: ReadonlyMap<string, string | PreparedShape>, name: string, text: string): boolean {
	const previous = entries.get(name);
	const count = entries.size + (previous === undefined ? 1 : 0);
	const bytes = getBytes(memory) - (previous === undefined ? 0 : getEntryBytes(name, previous)) + getEntryBytes(name, text);
	return count <= MAX_SESSION_ENTRIES && bytes <= MAX_SESSION_BYTES;
}

/** Copies a text that is a part of a caller's message, which would otherwise stay in memory as a whole for as long as the part. */
function copyText(text: string): string {
	return Buffer.from(text, 'latin1').toString('latin1');
}

function getBytes({values, prepared}: SessionMemory): number {
	let bytes = 0;
	for (const [name, entry] of [...values, ...prepared]) {
		bytes += getEntryBytes(name, entry);
	}

	return bytes;
}

function getEntryBytes(name: string, entry: string | PreparedShape): number {
	return name.length + (typeof entry === 'string' ? entry.length : entry.shape.length);
}
