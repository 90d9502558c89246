import type {CallerRequest} from '../callers/caller-request.js';
import {mayBeRepeat, ONCE_ONLY} from '../callers/possible-repeat.js';
import type {Configuration, VersionedGroup} from '../configuration/configuration.js';
import {createRequestId} from '../random/request-id.js';
import type {Random} from '../random/random.js';
import type {Refusal} from '../refusals/refusal.js';
import type {Session, Sessions} from '../sessions/session.js';
import type {Clock} from '../time/clock.js';
import {judgeRequestId, refuseBadToken, refuseUnknownGroup} from './entry-refusals.js';
import {readSessionHeader} from './session-floor.js';

/** A request as the entry sees it, for records. Never its statement or values. */
export type AskedRequest = {
	readonly group: string;
	readonly requestId: string;
	/** `read`, `write`, `outcome`, `begin`, … */
	readonly asked: string;
	readonly class: string;
	readonly session: Session;
	/** The caller's token, where one token says just what `session` does. */
	readonly token?: string;
	readonly configVersion: number;
	readonly startedAt: number;
	readonly deadlineAt: number;
	/** True where the same request id may have been submitted before. */
	readonly mayBeRepeat: boolean;
};

/** What a caller's protocol knows of a request before it is looked at. */
export type AskedParts = Pick<AskedRequest, 'asked' | 'class'> & Pick<CallerRequest, 'requestId' | 'deadlineMs' | 'attempt'>;

/** A request with what this host knows to judge it. */
export type Asking = {
	readonly asked: AskedRequest;
	readonly group: VersionedGroup | undefined;
	/** True where the session header was not signed by this system. */
	readonly bad: boolean;
};

/** The group that a request may go to, or why it may not. */
export type Judgement = {readonly group: VersionedGroup} | {readonly refusal: Refusal};

/** Takes requests in. */
export type Asker = {
	ask(group: string, header: string | undefined, parts: AskedParts): Asking;
	judge(asking: Asking): Judgement;
};

/** What requests are taken in with. */
export type AskerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: Configuration;
	readonly sessions: Sessions;
};

/** Creates what takes requests in. */
export function createAsker(options: AskerOptions): Asker {
	const {
		clock, random, configuration, sessions,
	} = options;

	return {
		ask(name, header, parts) {
			const wallMs = clock.wall();
			const startedAt = clock.now();
			const group = configuration.getGroup(name);
			const read = readSessionHeader(header, sessions, wallMs);
			const asked: AskedRequest = {
				group: name,
				requestId: parts.requestId ?? createRequestId(wallMs, random),
				asked: parts.asked,
				class: parts.class,
				session: read.session,
				token: read.kind === 'known' ? read.token : undefined,
				configVersion: group?.version ?? 0,
				startedAt,
				deadlineAt: startedAt + parts.deadlineMs,
				mayBeRepeat: mayBeRepeat(parts, wallMs),
			};
			return {asked, group, bad: read.kind === 'bad'};
		},
		judge({asked, group, bad}) {
			if (bad) {
				return {refusal: refuseBadToken()};
			}

			if (!group) {
				return {refusal: refuseUnknownGroup(asked.group, configuration)};
			}

			const runsForMs = ONCE_ONLY.has(asked.asked) ? 0 : asked.deadlineAt - asked.startedAt;
			const refusal = judgeRequestId(asked.requestId, group, runsForMs, clock.wall());
			return refusal ? {refusal} : {group};
		},
	};
}
