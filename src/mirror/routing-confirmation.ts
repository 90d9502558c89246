/** Tracks until when the configuration held was the latest one acknowledged to the operator. */
export type RoutingConfirmation = {
	/** Elapsed time; undefined before the first confirmation. */
	readonly confirmedAt: number | undefined;
	/** Records that the store was restored from a backup; `version` is that of the configuration that was in force. */
	noteRestore(version: number): void;
	/** Records that the store itself confirmed the copy at the elapsed time `storeAt`, with a configuration of this version. */
	noteConfirmed(storeAt: number, version: number): void;
};

/** Time within which the operator's configuration is written again to a restored store, in milliseconds: the same as for entries that expired in an outage. */
const REWRITE_WINDOW_MS = 2000;

/**
 * Creates the confirmation of a host that has not read the store yet.
 *
 * Guards against a host that accepts a revoked key again: the store was restored without the configuration that revoked the key, and confirms the one before. Until a version
 * above the one held shows that the operator has written again, or the time for that has passed, only confirmations from before the restore count.
 */
export function createRoutingConfirmation(): RoutingConfirmation {
	let confirmedAt: number | undefined;
	let rewriteWindow: {readonly version: number; readonly since?: number} | undefined;

	const isInRewriteWindow = (storeAt: number, version: number) => {
		if (!rewriteWindow || version > rewriteWindow.version) {
			return false;
		}

		rewriteWindow = {version: rewriteWindow.version, since: rewriteWindow.since ?? storeAt};
		return storeAt < rewriteWindow.since! + REWRITE_WINDOW_MS;
	};

	return {
		get confirmedAt() {
			return confirmedAt;
		},
		noteRestore(version) {
			rewriteWindow = {version};
		},
		noteConfirmed(storeAt, version) {
			if (isInRewriteWindow(storeAt, version)) {
				return;
			}

			rewriteWindow = undefined;
			confirmedAt = Math.max(confirmedAt ?? storeAt, storeAt);
		},
	};
}
