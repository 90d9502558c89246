import {createHash, randomBytes} from 'node:crypto';
import type {Workspace} from './workspace.js';

/** Index of workspaces by the keys of their callers. */
export type KeyIndex = {
	/** Returns the workspace that has the key; undefined where there is none, or more than one. */
	getWorkspace(fingerprint: KeyFingerprint): Workspace | undefined;
};

/** Salted hash that represents a key inside one process, so that no session holds the key itself. */
export type KeyFingerprint = string & {readonly brand: 'KeyFingerprint'};

/** Salt of the fingerprints, random in each process: keys cannot be guessed offline from a leaked fingerprint. */
const SALT = randomBytes(16);

/** Returns a key's fingerprint. Since keys are hashed before the look-up, its duration does not reveal how much of a guessed key is right. */
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
