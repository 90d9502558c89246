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
		database, fingerprint, values: new Map(), prepared: new Map(), floors: new Map(),
	};
}

/** Records a session value or prepared statement that a caller set, prepared or dropped. */
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
