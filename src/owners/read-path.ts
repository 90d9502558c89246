import {Outcome} from '../callers/caller-response.js';
import type {EndpointConnection, FloorReadAnswer} from '../endpoints/endpoint.js';
import {isEndpointError} from '../endpoints/endpoint-errors.js';
import type {EndpointConfig} from '../groups/group-config.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {OwnerResponse, OwnerRequest} from '../routing/owner-request.js';
import type {LogPosition} from '../terms/log-position.js';
import type {GroupParts} from './group-parts.js';
import {createNotRunResponse, createRefusal} from './owner-responses.js';
import {refuseLostWrite} from './lost-writes.js';
import type {ReadPlacement} from './read-placement.js';
import {isServerFailure} from './server-failure.js';

/** Serves reads of one group from an endpoint that holds the read's floor and whose data is within the read's maximum age. */
export type ReadPath = {
	read(req: OwnerRequest, deadlineAt: number): Promise<OwnerResponse>;
};

/** Retry delay for a caller whose read no endpoint could serve, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 200;

/** Share of the remaining time that a try may take while other endpoints are left, and the minimum that it gets, in milliseconds. */
const TRY_SHARE = 0.5;
const MIN_TRY_MS = 400;

type Attempt = {readonly answer: FloorReadAnswer} | {readonly failed: OwnerResponse};

/** The floor that a read starts with: the session's, or that of a barrier taken at `takenAt`. */
type ReadStart = {
	readonly floor: LogPosition;
	readonly takenAt?: number;
	/** Whether a barrier was taken for this read, either for its floor or only to learn the age of the data. */
	readonly withBarrier: boolean;
};

/** Why a read must start again. */
const StartAgain = {
	/** The floor of the barrier that it started with is no longer valid: the log of the barrier's primary was not kept. */
	BarrierLost: 'barrier-lost',
	/** The rows of the last endpoint were not known to be within the maximum age when they arrived. */
	AgeUnknown: 'age-unknown',
} as const;

type StartAgain = typeof StartAgain[keyof typeof StartAgain];

function isStartAgain(end: OwnerResponse | StartAgain): end is StartAgain {
	return typeof end === 'string';
}

/** Creates the read path of one group. */
export function createReadPath(group: GroupParts, placement: ReadPlacement): ReadPath {
	const {clock, knowledge} = group;

	const exchange = async (endpoint: EndpointConfig, req: OwnerRequest, floor: LogPosition, deadlineAt: number): Promise<Attempt> => {
		const parts = group.getParts(endpoint.name)!;
		const fail = (err: unknown, startedAt: number): Attempt => {
			if (isServerFailure({startedAt, until: deadlineAt}, clock.now())) {
				group.suspect(endpoint.name, clock.now());
			}

			return {failed: refuseSilent(endpoint, err)};
		};

		const enteredAt = clock.now();
		let connection: EndpointConnection;
		try {
			connection = await parts.pool.acquire(deadlineAt);
		} catch (err) {
			return fail(err, enteredAt);
		}

		// Guards against work on an endpoint that started to leave while the work waited for a connection, which may take long.
		if (!group.mayTakeWork(endpoint, clock.now())) {
			parts.pool.release(connection);
			return {failed: refuseLeaving(endpoint)};
		}

		const sentAt = clock.now();
		const end = group.running.begin(endpoint.name, {what: 'read', requestId: req.requestId, since: sentAt});
		try {
			const answer = await connection.read({statement: req.statement, values: req.values, floor}, Math.max(1, deadlineAt - clock.now()));
			knowledge.observe(endpoint.name, answer.status, clock.now());
			return {answer};
		} catch (err) {
			connection.destroy();
			return fail(err, sentAt);
		} finally {
			end();
			parts.pool.release(connection);
		}
	};

	const runAdmitted = async (endpoint: EndpointConfig, req: OwnerRequest, floor: LogPosition, deadlineAt: number): Promise<Attempt> => {
		const admission = await group.getParts(endpoint.name)!.admission.acquire({class: req.class, deadlineAt}, clock.now());
		if (!admission.admitted) {
			return {failed: createNotRunResponse(admission.refusal)};
		}

		let served = false;
		try {
			const attempt = await exchange(endpoint, req, floor, deadlineAt);
			served = 'answer' in attempt;
			return attempt;
		} finally {
			admission.release(clock.now(), served);
		}
	};

	// Guards against an answer older than the caller accepts: it may have been delayed while the server moved on or
	// was promoted. So the age follows from the position that the server reported before the rows, never from what is
	// known of the server by now.
	const getAnswerAge = (answer: FloorReadAnswer, floorAt: number | undefined) => {
		const now = clock.now();
		const known = knowledge.getLogAgeMs(answer.status.log, now);
		return floorAt === undefined ? known : Math.min(known, now - floorAt);
	};

	const evaluateAnswer = (endpoint: EndpointConfig, answer: FloorReadAnswer, req: OwnerRequest, floorAt: number | undefined): OwnerResponse | undefined => {
		if (!answer.held) {
			return undefined;
		}

		const ageMs = getAnswerAge(answer, floorAt);
		if (ageMs > req.maxAgeMs) {
			return undefined;
		}

		if (answer.message !== undefined) {
			return createNotRunResponse(createRefusal(RefusalCode.StatementFailed, {
				reason: `${endpoint.name} rejected the statement: ${answer.message}`,
				facts: {endpoint: endpoint.name, term: answer.status.term},
			}));
		}

		const {role} = answer.status;
		return {
			outcome: Outcome.Done, rows: answer.rows, servedBy: endpoint.name, role, log: answer.status.log, ageMs,
		};
	};

	const refuseNoPrimary = () => createNotRunResponse(createRefusal(RefusalCode.NoPrimary, {
		reason: 'no majority of the group could confirm what the read must see',
		facts: {highestTerm: knowledge.highestTerm},
		retryAfterMs: NO_ENDPOINT_RETRY_MS,
	}));

	const refuseNoEndpoint = (floor: LogPosition) => createNotRunResponse(createRefusal(RefusalCode.NoEndpoint, {
		reason: 'no endpoint of the group holds what the read needs',
		facts: {floorTerm: floor.term, floorPosition: floor.position, highestTerm: knowledge.highestTerm},
		retryAfterMs: NO_ENDPOINT_RETRY_MS,
	}));

	// Guards against rows of unknown age from a primary that may have been superseded while this owner received nothing:
	// if the primary's data is not known to be within the maximum age, a barrier first proves that it is still the primary.
	const needsBarrier = (req: OwnerRequest) => {
		const primary = knowledge.getPrimary();
		return !req.floor || !primary || knowledge.getAgeMs(primary.name, clock.now()) > req.maxAgeMs;
	};

	const takeBarrier = async (req: OwnerRequest, deadlineAt: number): Promise<ReadStart | undefined> => {
		const taken = await group.barrier.take(deadlineAt);
		if (!taken) {
			return undefined;
		}

		// A session's floor decides which endpoints may serve the read; the barrier was then needed for the ages only.
		return req.floor ? {floor: req.floor, withBarrier: true} : {floor: taken.floor, takenAt: taken.takenAt, withBarrier: true};
	};

	const takeStart = async (req: OwnerRequest, deadlineAt: number): Promise<ReadStart | undefined> =>
		req.floor && !needsBarrier(req) ? {floor: req.floor, withBarrier: false} : takeBarrier(req, deadlineAt);

	const evaluateAttempt = async (endpoint: EndpointConfig, attempt: Attempt, req: OwnerRequest, start: ReadStart, deadlineAt: number) => {
		if ('failed' in attempt) {
			return undefined;
		}

		const {answer} = attempt;
		if (!answer.lost) {
			return evaluateAnswer(endpoint, answer, req, start.takenAt);
		}

		// A barrier's floor covers what was acknowledged, but may itself be an entry that was never confirmed.
		return start.takenAt === undefined
			? refuseLostWrite(group, {endpoint, answer, floor: start.floor}, deadlineAt)
			: StartAgain.BarrierLost;
	};

	const waitBefore = async (waitMs: number, deadlineAt: number) => {
		if (waitMs > 0) {
			await clock.sleep(Math.min(waitMs, (deadlineAt - clock.now()) * TRY_SHARE));
		}
	};

	const tryEach = async (req: OwnerRequest, start: ReadStart, deadlineAt: number): Promise<OwnerResponse | StartAgain> => {
		const choices = placement.choose(group, {
			floor: start.floor, barrierAt: start.takenAt, maxAgeMs: req.maxAgeMs, class: req.class, now: clock.now(),
		});
		let last: OwnerResponse | undefined;
		let mayHaveRun = false;
		let isAgeUnknown = false;
		for (const [index, {endpoint, waitMs}] of choices.entries()) {
			await waitBefore(waitMs, deadlineAt);
			const leftMs = deadlineAt - clock.now();
			if (leftMs <= 0) {
				break;
			}

			const isLast = index === choices.length - 1;
			const tryUntil = isLast ? deadlineAt : clock.now() + Math.min(leftMs, Math.max(MIN_TRY_MS, leftMs * TRY_SHARE));
			const attempt = await runAdmitted(endpoint, req, start.floor, tryUntil);
			const response = await evaluateAttempt(endpoint, attempt, req, start, tryUntil);
			if (response) {
				return response;
			}

			last = 'failed' in attempt ? attempt.failed : undefined;
			isAgeUnknown = 'answer' in attempt && attempt.answer.held;
			mayHaveRun ||= 'failed' in attempt ? attempt.failed.outcome === Outcome.Unknown : attempt.answer.held;
		}

		// Guards against refusing a read that the primary could serve: the newest known sample may exceed the maximum age
		// while the rows are on their way. The effect would be refusals of reads with a short maximum age in a healthy group.
		if (isAgeUnknown && !start.withBarrier) {
			return StartAgain.AgeUnknown;
		}

		const refused = last ?? refuseNoEndpoint(start.floor);
		return mayHaveRun ? {...refused, outcome: Outcome.Unknown} : refused;
	};

	return {
		async read(req, deadlineAt) {
			let start = await takeStart(req, deadlineAt);
			while (start) {
				const end = await tryEach(req, start, deadlineAt);
				if (!isStartAgain(end)) {
					return end;
				}

				start = end === StartAgain.AgeUnknown ? await takeBarrier(req, deadlineAt) : await takeStart(req, deadlineAt);
			}

			return refuseNoPrimary();
		},
	};
}

function refuseLeaving(endpoint: EndpointConfig): OwnerResponse {
	return createNotRunResponse(createRefusal(RefusalCode.NoEndpoint, {
		reason: `${endpoint.name} is leaving and takes no new work`,
		facts: {endpoint: endpoint.name},
		retryAfterMs: NO_ENDPOINT_RETRY_MS,
	}));
}

function refuseSilent(endpoint: EndpointConfig, err: unknown): OwnerResponse {
	const sent = isEndpointError(err) && err.sent;
	return {
		outcome: sent ? Outcome.Unknown : Outcome.NotRun,
		refusal: createRefusal(sent ? RefusalCode.EndpointSilent : RefusalCode.NoConnection, {
			reason: sent ? `${endpoint.name} gave no answer to the read, which has no effect` : `${endpoint.name} gave no connection`,
			facts: {endpoint: endpoint.name, cause: (err as Error).message},
			retryAfterMs: NO_ENDPOINT_RETRY_MS,
		}),
	};
}
