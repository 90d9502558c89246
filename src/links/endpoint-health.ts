/** Detects failures of an endpoint from its traffic. Times are those of the steady clock, in milliseconds. */
export type EndpointHealth = {
	/** Notes that something was received from the endpoint. */
	noteReceived(now: number): void;
	/** Notes that something was sent that the endpoint has to answer. */
	noteSent(now: number): void;
	/** Notes that no request waits for an answer any more. */
	noteNothingPending(): void;
	/** Notes that a connection was refused, or answered by another endpoint. */
	noteRefused(now: number): void;
	/** Returns why the endpoint is suspected to have failed, or undefined where it is not. */
	getSuspicion(now: number): Suspicion | undefined;
	/** Time since which a request waits for an answer and nothing was received; undefined where none waits. */
	readonly awaitingSince: number | undefined;
	/** Time at which something was last received, undefined before the first time. */
	readonly lastReceivedAt: number | undefined;
};

/** Reasons to suspect that an endpoint has failed. */
export const Suspicion = {
	/** Connections are refused. */
	Refused: 'refused',
	/** A request waits for an answer, and nothing is received on any connection. */
	Silent: 'silent',
} as const;

/** One of the reasons in {@link Suspicion}. */
export type Suspicion = typeof Suspicion[keyof typeof Suspicion];

/**
 * An endpoint is suspected when a request waits for an answer and nothing is received on any connection for this long, in milliseconds.
 *
 * A busy endpoint still sends answers: with three slots and statements of 60 ms that run five times slower, one every 100 ms.
 */
export const SILENT_AFTER_MS = 700;

/** Creates the failure detector of one endpoint. */
export function createEndpointHealth(): EndpointHealth {
	let lastReceivedAt: number | undefined;
	let awaitingSince: number | undefined;
	let refused = false;

	return {
		get lastReceivedAt() {
			return lastReceivedAt;
		},
		get awaitingSince() {
			return awaitingSince;
		},
		noteReceived(now) {
			lastReceivedAt = now;
			refused = false;
			if (awaitingSince !== undefined) {
				awaitingSince = now;
			}
		},
		noteSent(now) {
			awaitingSince ??= now;
		},
		noteNothingPending() {
			awaitingSince = undefined;
		},
		noteRefused() {
			refused = true;
		},
		getSuspicion(now) {
			if (refused) {
				return Suspicion.Refused;
			}

			return awaitingSince !== undefined && now - awaitingSince > SILENT_AFTER_MS ? Suspicion.Silent : undefined;
		},
	};
}
