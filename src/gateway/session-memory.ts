import type {PreparedShape, Statement} from '../statements/statement.js';
import type {LogPosition} from '../terms/log-position.js';
import type {KeyFingerprint} from '../workspaces/key-index.js';

/** What lasts as long as a caller's session. */
export type SessionMemory = {
	readonly database: string;
	/** Of the key that the caller showed. */
	readonly fingerprint: KeyFingerprint;
	/** Session values that the caller set. */
	readonly values: Map<string, string>;
	/** Prepared statements by the caller's own names. */
	readonly prepared: Map<string, PreparedShape>;
	/** By group, the position of the session's last commit: its reads must not see less. */
	readonly floors: Map<string, LogPosition>;
};

/** Creates the memory of a fresh session. */
export function createSessionMemory(database: string, fingerprint: KeyFingerprint): SessionMemory {
	return {
		database, fingerprint, values: new Map(), prepared: new Map(), floors: new Map(),
	};
}

/** Notes what a caller set, prepared or forgot. */
export function rememberStatement(memory: SessionMemory, statement: Extract<Statement, {kind: 'set' | 'prepare' | 'forget'}>): void {
	switch (statement.kind) {
		case 'set': {
			memory.values.set(statement.name, statement.value);
			return;
		}

		case 'prepare': {
			memory.prepared.set(statement.name, statement.shape);
			return;
		}

		case 'forget': {
			memory.prepared.delete(statement.name);
		}
	}
}
