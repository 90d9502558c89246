/** Knows until when the configuration was the latest that the operator has had acknowledged. */
export type RoutingConfirmation = {
	/** Elapsed time; undefined before the first confirmation. */
	readonly confirmedAt: number | undefined;
	/** The store has come back from a copy; the configuration in force before has this version. */
	noteReturn(version: number): void;
	/** The store itself confirmed the copy at the elapsed time `storeAt`, with a configuration of this version. */
	noteConfirmed(storeAt: number, version: number): void;
};

/** What the operator wrote is in a store that came back within so long, in milliseconds: as long as entries take that lapsed in an outage. */
const WRITTEN_AGAIN_MS = 2000;

/**
 * Creates the knowledge of a host that has read nothing.
 *
 * Guards against a revoked key that a host honours anew: the store came back without the configuration that took it away, and confirms the one before. Until the operator
 * has written again, which shows as a version above the one held or is awaited, only what was confirmed before the return counts.
 */
export function createRoutingConfirmation(): RoutingConfirmation {
	let confirmedAt: number | undefined;
	let open: {readonly version: number; readonly since?: number} | undefined;

	const isOpen = (storeAt: number, version: number) => {
		if (!open || version > open.version) {
			return false;
		}

		open = {version: open.version, since: open.since ?? storeAt};
		return storeAt < open.since! + WRITTEN_AGAIN_MS;
	};

	return {
		get confirmedAt() {
			return confirmedAt;
		},
		noteReturn(version) {
			open = {version};
		},
		noteConfirmed(storeAt, version) {
			if (isOpen(storeAt, version)) {
				return;
			}

			open = undefined;
			confirmedAt = Math.max(confirmedAt ?? storeAt, storeAt);
		},
	};
}
