import type {Outcome} from '../callers/caller-response.js';
import type {Refusal} from '../refusals/refusal.js';

/** A refusal or a delay as it is kept: all that is needed to explain it after every proxy that saw it is gone. */
export type RefusalRecord = Refusal & {
	readonly requestId: string;
	readonly group: string;
	/** What was asked: `read`, `write`, `begin`, `commit`, … Never the statement's values. */
	readonly asked: string;
	readonly class: string;
	/** Id of the caller's session, where it had one. */
	readonly sessionId?: string;
	/** What the caller was told. */
	readonly outcome: Outcome;
	/** Name of the host that decided. */
	readonly host: string;
	/** When, milliseconds since the epoch by the deciding host's calendar. */
	readonly at: number;
	/** Version of the group's configuration in force there. */
	readonly configVersion: number;
};
