import {
	EndpointRole, KeyedWriteResult, type EndpointConnection, type KeyedWriteAnswer,
} from '../endpoints/endpoint.js';
import {isEndpointError} from '../endpoints/endpoint-errors.js';
import {Durability, type EndpointConfig, type WorkClass} from '../groups/group-config.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {OwnerResponse, OwnerRequest, ResolveRequest} from '../routing/owner-request.js';
import {Confirmation, isHolding} from './confirmer.js';
import type {GroupParts, Primary} from './group-parts.js';
import {createNotRunResponse} from './owner-responses.js';
import {isServerFailure, type TimeWindow} from './server-failure.js';
import {createWriteResponses} from './write-responses.js';

/**
 * Runs keyed exchanges at a group's primary and returns a result only once it is confirmed as the group's durability requires.
 */
export type WritePath = {
	write(req: OwnerRequest, deadlineAt: number): Promise<OwnerResponse>;
	/** Resolves a request by what is stored under its key; inserts a confirmed tombstone if nothing is. */
	resolve(req: ResolveRequest, deadlineAt: number): Promise<OwnerResponse>;
	/**
	 * Enters the write gate as soon as a primary accepts work and resolves with that primary; the caller must leave the gate.
	 * Resolves with undefined, outside the gate, if no primary accepts work by `deadlineAt`.
	 */
	enterAtPrimary(deadlineAt: number): Promise<Primary | undefined>;
	/** Confirms a primary's answer to a keyed exchange and converts it to the owner's response. */
	complete(exchange: AnsweredExchange, deadlineAt: number): Promise<OwnerResponse>;
};

/** A keyed exchange that the primary answered. */
export type AnsweredExchange = {
	readonly primary: EndpointConfig;
	/** The primary's term when the exchange was requested. */
	readonly term: number;
	readonly answer: KeyedWriteAnswer;
	/** When the exchange was sent. */
	readonly sentAt: number;
};

/**
 * Share of the remaining time that one exchange may take, and the minimum that it gets if that much is left, in milliseconds.
 *
 * Guards against a write that waits until its deadline on a connection that has gone silent: the rest is kept for further
 * tries under the same key, which wait for the end of the first one if that is merely slow. A short deadline leaves no
 * time for another try, so the exchange gets all of it.
 */
const TRY_SHARE = 0.25;
const MIN_TRY_MS = 1000;

/** The primary started to leave before the exchange was sent; the next primary may run it. */
const PRIMARY_LEAVING = 'primary-leaves';

type KeyedExchange = {
	readonly what: 'write' | 'resolve';
	readonly requestId: string;
	readonly class: WorkClass;
	/** No other owner will be tried, so the request waits here for a primary that responds. */
	readonly isLastOwner?: boolean;
	run(connection: EndpointConnection, term: number, timeoutMs: number): Promise<KeyedWriteAnswer>;
};

/** Creates the write path of one group. */
export function createWritePath(group: GroupParts): WritePath {
	const {clock, knowledge} = group;
	const responses = createWriteResponses(group);

	const findPrimary = (): Primary | undefined => {
		const endpoint = knowledge.getPrimary();
		if (!endpoint || !group.mayTakeWork(endpoint, clock.now())) {
			return undefined;
		}

		const parts = group.getParts(endpoint.name);
		const term = knowledge.get(endpoint.name)?.status?.term;
		return parts && term !== undefined ? {endpoint, parts, term} : undefined;
	};

	// Guards against a planned change of primary that never completes: it waits until the gate is empty, so a request
	// that waits for the new primary must do so outside.
	const enterAtPrimary = async (deadlineAt: number) => {
		while (await group.writeGate.enter(deadlineAt)) {
			const primary = findPrimary();
			if (primary) {
				return primary;
			}

			group.writeGate.leave();
			if (clock.now() >= deadlineAt) {
				break;
			}

			await group.waitForChange(deadlineAt);
		}

		return undefined;
	};

	const noteFailure = (primary: Primary, window: TimeWindow) => {
		if (isServerFailure(window, clock.now())) {
			group.suspect(primary.endpoint.name, clock.now());
		}
	};

	// Guards against acknowledging a write by the answer of a superseded primary, which looks like any other.
	// What a primary answers about a key counts only once a majority reports the same term.
	const getConfirmation = async ({term, primary, answer}: AnsweredExchange, deadlineAt: number) => {
		const {status} = answer;
		if (status.role !== EndpointRole.Primary || !isHolding(status, term, status.log.position)) {
			return Confirmation.Superseded;
		}

		// With durability `primary`, a group accepts that acknowledged writes are lost together with the primary. "Not run" must
		// outlive every promotion all the same, so a majority has to hold the entry that it rests on.
		const saysNotRun = answer.result === KeyedWriteResult.Tombstone || answer.result === KeyedWriteResult.Mismatch;
		if (group.getGroup().cfg.durability === Durability.Primary && !saysNotRun) {
			const round = await group.barrier.take(deadlineAt);
			return round?.floor.term === term ? Confirmation.Confirmed : Confirmation.TimedOut;
		}

		return group.confirmer.confirm({
			term, position: status.log.position, reportedBy: primary.name, status, deadlineAt,
		});
	};

	const confirmAnswer = async (exchange: AnsweredExchange, deadlineAt: number): Promise<OwnerResponse> => {
		const {term, primary, answer} = exchange;
		knowledge.observe(primary.name, answer.status, clock.now());
		switch (answer.result) {
			case KeyedWriteResult.NotPrimary: {
				group.suspect(primary.name, clock.now());
				return responses.refuseSuperseded(primary.name, term, false);
			}

			case KeyedWriteResult.Failed: {
				return responses.refuseFailed(primary, term, answer);
			}

			case KeyedWriteResult.Ran:
			case KeyedWriteResult.Found:
			case KeyedWriteResult.Mismatch:
			case KeyedWriteResult.Tombstone: {
				break;
			}
		}

		const confirmation = await getConfirmation(exchange, deadlineAt);
		if (confirmation === Confirmation.Confirmed) {
			// Only an entry written after `sentAt` proves that the primary's term was still current at that time.
			if (answer.result === KeyedWriteResult.Ran) {
				knowledge.observeConfirmed(answer.status.log.position, term, exchange.sentAt);
			}

			return responses.respondConfirmed(primary, answer);
		}

		group.suspect(primary.name, clock.now());
		return confirmation === Confirmation.Superseded
			? responses.refuseSuperseded(primary.name, term, true)
			: responses.refuseNotConfirmed(primary, term, answer);
	};

	// Guards against a write that hangs on a lost primary until its deadline, although another primary could run it much
	// earlier: once a higher term is seen, the exchange is abandoned, and the next try goes there with the same key.
	const abandonWhenSuperseded = (primary: Primary, connection: EndpointConnection) => group.onChange(() => {
		if (knowledge.highestTerm > primary.term) {
			connection.destroy();
		}
	});

	const exchangeAt = async (primary: Primary, exchange: KeyedExchange, deadlineAt: number) => {
		const enteredAt = clock.now();
		let connection: EndpointConnection;
		try {
			connection = await primary.parts.pool.acquire(deadlineAt);
		} catch (err) {
			noteFailure(primary, {startedAt: enteredAt, until: deadlineAt});
			return responses.refuseNoConnection(primary, err);
		}

		// Guards against work on a primary that started to leave while the work waited for a connection, which may take long.
		if (!group.mayTakeWork(primary.endpoint, clock.now())) {
			primary.parts.pool.release(connection);
			return PRIMARY_LEAVING;
		}

		const stopWatching = abandonWhenSuperseded(primary, connection);
		const noteEnd = group.silence.begin(primary.endpoint.name);
		const sentAt = clock.now();
		const remainingMs = Math.max(1, deadlineAt - sentAt);
		const timeoutMs = Math.min(remainingMs, Math.max(MIN_TRY_MS, remainingMs * TRY_SHARE));
		const end = group.running.begin(primary.endpoint.name, {what: exchange.what, requestId: exchange.requestId, since: sentAt});
		try {
			const answer = await exchange.run(connection, primary.term, timeoutMs);
			return {
				primary: primary.endpoint, term: primary.term, answer, sentAt,
			};
		} catch (err) {
			// A connection whose exchange was abandoned is never reused: its late response would reach another caller.
			connection.destroy();
			noteFailure(primary, {startedAt: sentAt, until: sentAt + timeoutMs});
			return isEndpointError(err) && !err.sent ? responses.refuseNoConnection(primary, err) : responses.refuseSilent(primary);
		} finally {
			stopWatching();
			noteEnd();
			end();
			primary.parts.pool.release(connection);
		}
	};

	const runAdmitted = async (primary: Primary, exchange: KeyedExchange, deadlineAt: number) => {
		const admission = await primary.parts.admission.acquire({class: exchange.class, deadlineAt}, clock.now());
		if (!admission.admitted) {
			return createNotRunResponse(admission.refusal);
		}

		let served = false;
		try {
			const end = await exchangeAt(primary, exchange, deadlineAt);
			served = end !== PRIMARY_LEAVING && 'answer' in end;
			return end;
		} finally {
			admission.release(clock.now(), served);
		}
	};

	/** Waits until a primary is known that has answered since its last failure; resolves with false if there is none by `deadlineAt`. */
	const waitForRespondingPrimary = async (deadlineAt: number) => {
		while (clock.now() < deadlineAt) {
			await group.waitForChange(deadlineAt);
			const primary = findPrimary();
			if (primary && knowledge.get(primary.endpoint.name)?.failures === 0) {
				return clock.now() < deadlineAt;
			}
		}

		return false;
	};

	/** Runs the exchange at the current primary, inside the gate; resolves with undefined if that primary started to leave first. */
	const runOnce = async (exchange: KeyedExchange, deadlineAt: number): Promise<OwnerResponse | undefined> => {
		const primary = await enterAtPrimary(deadlineAt);
		if (!primary) {
			return responses.refuseNoPrimary();
		}

		try {
			const end = await runAdmitted(primary, exchange, deadlineAt);
			if (end === PRIMARY_LEAVING) {
				return undefined;
			}

			return 'answer' in end ? await confirmAnswer(end, deadlineAt) : end;
		} finally {
			group.writeGate.leave();
		}
	};

	// Guards against refusing a burst of writes when a primary is lost, although another is promoted a second later:
	// going back and forth between owners would use up the group's retry budget, and queueing at the lost primary would
	// end in refusals. Nothing was sent, so the last owner tried waits for a primary that responds.
	const runAtPrimary = async (exchange: KeyedExchange, deadlineAt: number): Promise<OwnerResponse> => {
		for (;;) {
			const response = await runOnce(exchange, deadlineAt);
			if (!response) {
				continue;
			}

			const isUnconnected = response.refusal?.code === RefusalCode.NoConnection;
			if (!isUnconnected || !exchange.isLastOwner || !await waitForRespondingPrimary(deadlineAt)) {
				return response;
			}
		}
	};

	return {
		complete: confirmAnswer,
		enterAtPrimary,
		async write(req, deadlineAt) {
			const {requestId, digest, statement, values, isLastOwner} = req;
			return runAtPrimary({
				what: 'write',
				requestId,
				class: req.class,
				isLastOwner,
				run: async (connection, term, timeoutMs) => connection.write({
					requestId, digest, statement, values, term,
				}, timeoutMs),
			}, deadlineAt);
		},
		async resolve({requestId, isLastOwner}, deadlineAt) {
			return runAtPrimary({
				what: 'resolve',
				requestId,
				class: 'deadline',
				isLastOwner,
				run: async (connection, term, timeoutMs) => connection.resolve(requestId, term, timeoutMs),
			}, deadlineAt);
		},
	};
}
