/** What traffic tells of an endpoint. Times are those of the steady clock, in milliseconds. */
export type EndpointHealth = {
	/** Something came from the endpoint. */
	noteHeard(now: number): void;
	/** Something was sent that it has to answer. */
	noteAsked(now: number): void;
	/** Nothing that it was asked waits for an answer any more. */
	noteNothingOpen(): void;
	/** A connection was refused, or answered by another endpoint. */
	noteRefused(now: number): void;
	/** Why it is taken to be gone, or undefined where it is not. */
	getSuspicion(now: number): Suspicion | undefined;
	/** Since when it owes an answer and has sent nothing; undefined where it owes none. */
	readonly owesSince: number | undefined;
	/** When it was last heard, undefined before the first time. */
	readonly heardAt: number | undefined;
};

/** Why an endpoint is taken to be gone. */
export const Suspicion = {
	/** Connections are refused. */
	Refused: 'refused',
	/** It owes an answer and sends nothing on any connection. */
	Silent: 'silent',
} as const;

/** One of the reasons in {@link Suspicion}. */
export type Suspicion = typeof Suspicion[keyof typeof Suspicion];

/**
 * An endpoint that owes an answer and sends nothing on any connection for so long is taken to be gone, in milliseconds.
 *
 * A busy endpoint still answers something: with three slots and statements of 60 ms, five times slowed, one every 100 ms.
 */
export const SILENT_AFTER_MS = 700;

/** Creates the health of one endpoint. */
export function createEndpointHealth(): EndpointHealth {
	let heardAt: number | undefined;
	let askedAt: number | undefined;
	let refused = false;

	return {
		get heardAt() {
			return heardAt;
		},
		get owesSince() {
			return askedAt;
		},
		noteHeard(now) {
			heardAt = now;
			refused = false;
			if (askedAt !== undefined) {
				askedAt = now;
			}
		},
		noteAsked(now) {
			askedAt ??= now;
		},
		noteNothingOpen() {
			askedAt = undefined;
		},
		noteRefused() {
			refused = true;
		},
		getSuspicion(now) {
			if (refused) {
				return Suspicion.Refused;
			}

			return askedAt !== undefined && now - askedAt > SILENT_AFTER_MS ? Suspicion.Silent : undefined;
		},
	};
}
