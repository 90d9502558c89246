import {createHash, randomBytes} from 'node:crypto';
import type {Workspace} from './workspace.js';

/** Finds workspaces by the keys of their callers. */
export type KeyIndex = {
	/** The workspace that holds the key; undefined where none does. */
	getWorkspace(fingerprint: KeyFingerprint): Workspace | undefined;
};

/** Stands for a key inside one process, so that no session holds the key itself. */
export type KeyFingerprint = string & {readonly brand: 'KeyFingerprint'};

/** Differs in each process: a fingerprint that leaks cannot be searched for offline. */
const SALT = randomBytes(16);

/** Takes a key's fingerprint. Hashing before the look-up keeps its time from telling how much of a guessed key is right. */
export function getFingerprint(key: string): KeyFingerprint {
	return createHash('sha256').update(SALT).update(key).digest('base64url') as KeyFingerprint;
}

/** Creates the index. A key that two workspaces claim identifies neither, since its caller would act under the wrong name. */
export function createKeyIndex(workspaces: Iterable<Workspace>): KeyIndex {
	const owners = new Map<KeyFingerprint, Workspace | undefined>();
	for (const workspace of workspaces) {
		for (const key of new Set(workspace.keys)) {
			const fingerprint = getFingerprint(key);
			owners.set(fingerprint, owners.has(fingerprint) ? undefined : workspace);
		}
	}

	return {getWorkspace: fingerprint => owners.get(fingerprint)};
}
