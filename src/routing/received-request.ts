import type {CallerRequest} from '../callers/caller-request.js';
import {mayBeRepeat, UNKEYED_KINDS} from '../callers/possible-repeat.js';
import type {Configuration, VersionedGroup} from '../configuration/configuration.js';
import {createRequestId} from '../random/request-id.js';
import type {Random} from '../random/random.js';
import type {Refusal} from '../refusals/refusal.js';
import type {Session, Sessions} from '../sessions/session.js';
import type {Clock} from '../time/clock.js';
import {validateRequestId, refuseBadToken, refuseUnknownGroup} from './entry-refusals.js';
import {readSessionHeader} from './session-floor.js';

/** A caller's request as the entry records it; without its statement and values. */
export type ReceivedRequest = {
	readonly group: string;
	readonly requestId: string;
	/** `read`, `write`, `outcome`, `begin`, … */
	readonly asked: string;
	readonly class: string;
	readonly session: Session;
	/** The caller's session token, where a single token is equivalent to `session`. */
	readonly token?: string;
	readonly configVersion: number;
	readonly startedAt: number;
	readonly deadlineAt: number;
	/** True where the same request id may have been submitted before. */
	readonly mayBeRepeat: boolean;
};

/** Properties of a request that the caller's protocol provides. */
export type RequestInput = Pick<ReceivedRequest, 'asked' | 'class'> & Pick<CallerRequest, 'requestId' | 'deadlineMs' | 'attempt'>;

/** A received request with what its validation depends on. */
export type UnvalidatedRequest = {
	readonly asked: ReceivedRequest;
	readonly group: VersionedGroup | undefined;
	/** Whether the session header holds a token that this system did not sign. */
	readonly hasBadToken: boolean;
};

/** Result of a validation: the request's group, or the refusal. */
export type RequestValidation = {readonly group: VersionedGroup} | {readonly refusal: Refusal};

/** Receives and validates callers' requests. */
export type RequestReceiver = {
	/** Resolves the request's group and session, and its id where the caller sent none. */
	receive(group: string, header: string | undefined, input: RequestInput): UnvalidatedRequest;
	/** Refuses a request with a bad session token, an unknown group or an unacceptable request id. */
	validate(unvalidated: UnvalidatedRequest): RequestValidation;
};

/** Options of {@link createRequestReceiver}. */
export type RequestReceiverOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: Configuration;
	readonly sessions: Sessions;
};

/** Creates the receiver of one host's entry. */
export function createRequestReceiver(options: RequestReceiverOptions): RequestReceiver {
	const {
		clock, random, configuration, sessions,
	} = options;

	return {
		receive(name, header, input) {
			const wallMs = clock.wall();
			const startedAt = clock.now();
			const group = configuration.getGroup(name);
			const read = readSessionHeader(header, sessions, wallMs);
			const received: ReceivedRequest = {
				group: name,
				requestId: input.requestId ?? createRequestId(wallMs, random),
				asked: input.asked,
				class: input.class,
				session: read.session,
				token: read.kind === 'known' ? read.token : undefined,
				configVersion: group?.version ?? 0,
				startedAt,
				deadlineAt: startedAt + input.deadlineMs,
				mayBeRepeat: mayBeRepeat(input, wallMs),
			};
			return {asked: received, group, hasBadToken: read.kind === 'bad'};
		},
		validate({asked: received, group, hasBadToken}) {
			if (hasBadToken) {
				return {refusal: refuseBadToken()};
			}

			if (!group) {
				return {refusal: refuseUnknownGroup(received.group, configuration, clock.now())};
			}

			const runsForMs = UNKEYED_KINDS.has(received.asked) ? 0 : received.deadlineAt - received.startedAt;
			const refusal = validateRequestId(received.requestId, group, runsForMs, clock.wall());
			return refusal ? {refusal} : {group};
		},
	};
}
