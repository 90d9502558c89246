import type {Outcome} from '../callers/caller-response.js';
import type {Refusal} from '../refusals/refusal.js';

/** A stored refusal or delay, with everything that is needed to explain it after the proxies that handled the request are gone. */
export type RefusalRecord = Refusal & {
	readonly requestId: string;
	readonly group: string;
	/** The kind of request: `read`, `write`, `begin`, `commit`, … It never contains the statement's values. */
	readonly asked: string;
	readonly class: string;
	/** Id of the caller's session, if it had one. */
	readonly sessionId?: string;
	/** The outcome that was reported to the caller. */
	readonly outcome: Outcome;
	/** Name of the host that decided. */
	readonly host: string;
	/** Time of the decision by that host's clock, in milliseconds since the epoch. */
	readonly at: number;
	/** Version of the group's configuration that was in force on that host. */
	readonly configVersion: number;
};
