import {Outcome} from '../callers/caller-answer.js';
import {
	EndpointRole, KeyedWriteResult, type EndpointConnection, type KeyedWriteAnswer,
} from '../endpoints/endpoint.js';
import {isEndpointError} from '../endpoints/endpoint-errors.js';
import {Durability, type EndpointConfig, type WorkClass} from '../groups/group-config.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {OwnerAnswer, OwnerRequest, ResolveRequest} from '../routing/owner-request.js';
import {Confirmation, isHolding} from './confirmer.js';
import type {EndpointParts, GroupParts} from './group-parts.js';
import {answerNotRun, answerUnknown, createRefusal} from './owner-answers.js';

/**
 * Runs keyed exchanges at a group's primary and answers only what a majority has confirmed.
 */
export type WritePath = {
	write(req: OwnerRequest, deadlineAt: number): Promise<OwnerAnswer>;
	/** Settles what stands under a key; inserts a confirmed tombstone where nothing does. */
	resolve(req: ResolveRequest, deadlineAt: number): Promise<OwnerAnswer>;
	/** The primary as soon as one is known, undefined where none is by `deadlineAt`. */
	waitForPrimary(deadlineAt: number): Promise<Primary | undefined>;
	/** Confirms a primary's keyed answer and turns it into the owner's. */
	settle(exchange: SettledExchange, deadlineAt: number): Promise<OwnerAnswer>;
};

/** A keyed exchange that brought an answer. */
export type SettledExchange = {
	readonly primary: EndpointConfig;
	/** Term at which the exchange was asked for. */
	readonly term: number;
	readonly answer: KeyedWriteAnswer;
	/** When the exchange was sent. */
	readonly sentAt: number;
};

/** When a caller may come back while no primary is known, in milliseconds. */
const NO_PRIMARY_RETRY_MS = 500;

/** When a caller may come back after an endpoint refused a connection, in milliseconds. */
const NO_CONNECTION_RETRY_MS = 100;

/**
 * Part of the remaining time that an exchange may take.
 *
 * Guards against a filing that waits for its deadline on a connection that has gone silent: the rest is for another try
 * under the same key, which waits for the first one's end where that is merely slow.
 */
const TRY_SHARE = 0.5;

/** The primary of a group as its owner knows it. */
export type Primary = {
	readonly endpoint: EndpointConfig;
	readonly parts: EndpointParts;
	readonly term: number;
};

type KeyedExchange = {
	readonly what: 'write' | 'resolve';
	readonly requestId: string;
	readonly class: WorkClass;
	/** Waits for a connection rather than leave it to another owner. */
	readonly isLastOwner?: boolean;
	run(connection: EndpointConnection, term: number, timeoutMs: number): Promise<KeyedWriteAnswer>;
};

/** Creates the write path of one group. */
export function createWritePath(group: GroupParts): WritePath {
	const {clock, knowledge} = group;

	const findPrimary = (): Primary | undefined => {
		const endpoint = knowledge.getPrimary();
		if (!endpoint || !group.mayTakeWork(endpoint, clock.now())) {
			return undefined;
		}

		const parts = group.getParts(endpoint.name);
		const term = knowledge.get(endpoint.name)?.status?.term;
		return parts && term !== undefined ? {endpoint, parts, term} : undefined;
	};

	const waitForPrimary = async (deadlineAt: number) => {
		let primary = findPrimary();
		while (!primary && clock.now() < deadlineAt) {
			await group.waitForChange(deadlineAt);
			primary = findPrimary();
		}

		return primary;
	};

	const refuseNoPrimary = () => answerNotRun(createRefusal(RefusalCode.NoPrimary, {
		reason: 'the group has no primary that could take the write',
		facts: {highestTerm: knowledge.highestTerm},
		retryAfterMs: NO_PRIMARY_RETRY_MS,
	}));

	const refuseNoConnection = (primary: Primary, err: unknown) => {
		group.suspect(primary.endpoint.name, clock.now());
		const load = primary.parts.pool.getLoad();
		return answerNotRun(createRefusal(RefusalCode.NoConnection, {
			reason: `the primary ${primary.endpoint.name} gave no connection`,
			facts: {
				endpoint: primary.endpoint.name, term: primary.term, cause: (err as Error).message, lent: load.lent, limit: load.limit,
			},
			retryAfterMs: NO_CONNECTION_RETRY_MS,
		}), true);
	};

	const refuseSilent = (primary: Primary) => {
		group.suspect(primary.endpoint.name, clock.now());
		return answerUnknown(createRefusal(RefusalCode.EndpointSilent, {
			reason: `the primary ${primary.endpoint.name} gave no answer after the request was sent`,
			facts: {endpoint: primary.endpoint.name, term: primary.term},
		}));
	};

	const refuseSuperseded = (endpoint: string, term: number, sent: boolean) => {
		const refusal = createRefusal(RefusalCode.PrimarySuperseded, {
			reason: `${endpoint} is no longer primary of term ${term}`,
			facts: {endpoint, term, highestTerm: knowledge.highestTerm},
			retryAfterMs: 0,
		});
		return sent ? answerUnknown(refusal) : answerNotRun(refusal);
	};

	// Guards against acknowledging a write on the word of a primary that has been superseded: its own answer
	// looks like any other. Whatever it says of a key counts only once a majority shows the same term.
	const getConfirmation = async ({term, primary, answer}: SettledExchange, deadlineAt: number) => {
		const {status} = answer;
		if (status.role !== EndpointRole.Primary || !isHolding(status, term, status.log.position)) {
			return Confirmation.Superseded;
		}

		if (group.getGroup().cfg.durability === Durability.Primary) {
			const round = await group.barrier.take(deadlineAt);
			return round?.floor.term === term ? Confirmation.Confirmed : Confirmation.TimedOut;
		}

		return group.confirmer.confirm({
			term, position: status.log.position, shownBy: primary.name, status, deadlineAt,
		});
	};

	const answerConfirmed = (primary: EndpointConfig, answer: KeyedWriteAnswer): OwnerAnswer => {
		const {status} = answer;
		if (answer.result === KeyedWriteResult.Tombstone) {
			return answerNotRun(createRefusal(RefusalCode.Resolved, {
				reason: 'the request was settled as not run, and never will run under this id',
				facts: {endpoint: primary.name, term: status.term, position: status.log.position},
			}));
		}

		if (answer.result === KeyedWriteResult.Mismatch) {
			return answerNotRun(createRefusal(RefusalCode.RequestMismatch, {
				reason: 'another statement or other values stand under this request id',
				facts: {endpoint: primary.name, term: status.term, position: status.log.position},
			}));
		}

		return {
			outcome: Outcome.Done, rows: answer.rows ?? [], servedBy: primary.name, role: EndpointRole.Primary, log: status.log, ageMs: 0,
		};
	};

	const settle = async (exchange: SettledExchange, deadlineAt: number): Promise<OwnerAnswer> => {
		const {term, primary, answer} = exchange;
		knowledge.observe(primary.name, answer.status, clock.now());
		switch (answer.result) {
			case KeyedWriteResult.NotPrimary: {
				group.suspect(primary.name, clock.now());
				return refuseSuperseded(primary.name, term, false);
			}

			case KeyedWriteResult.Failed: {
				return answerNotRun(createRefusal(RefusalCode.StatementFailed, {
					reason: `${primary.name} rejected the statement and rolled it back: ${answer.message ?? 'no message'}`,
					facts: {endpoint: primary.name, term},
				}));
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
			// Only an entry made after `sentAt` proves that the term still led then.
			if (answer.result === KeyedWriteResult.Ran) {
				knowledge.observeConfirmed(answer.status.log.position, term, exchange.sentAt);
			}

			return answerConfirmed(primary, answer);
		}

		group.suspect(primary.name, clock.now());
		return confirmation === Confirmation.Superseded
			? refuseSuperseded(primary.name, term, true)
			: answerUnknown(createRefusal(RefusalCode.NotConfirmed, {
				reason: `${primary.name} took the request, but no majority confirmed it in time`,
				facts: {
					endpoint: primary.name, term, position: answer.status.log.position, durability: group.getGroup().cfg.durability,
				},
			}));
	};

	// Guards against a filing that hangs on a lost primary until its deadline, although another primary could take
	// it long before: once a higher term is seen the exchange is abandoned, and the next try goes there with the same key.
	const cutWhenSuperseded = (primary: Primary, connection: EndpointConnection) => group.onChange(() => {
		if (knowledge.highestTerm > primary.term) {
			connection.destroy();
		}
	});

	const exchangeAt = async (primary: Primary, exchange: KeyedExchange, deadlineAt: number) => {
		let connection: EndpointConnection;
		try {
			connection = await primary.parts.pool.acquire(deadlineAt);
		} catch (err) {
			return refuseNoConnection(primary, err);
		}

		const stopWatching = cutWhenSuperseded(primary, connection);
		const noteEnd = group.silence.begin(primary.endpoint.name);
		const sentAt = clock.now();
		const end = group.running.begin(primary.endpoint.name, {what: exchange.what, requestId: exchange.requestId, since: sentAt});
		try {
			const answer = await exchange.run(connection, primary.term, Math.max(1, (deadlineAt - sentAt) * TRY_SHARE));
			return {
				primary: primary.endpoint, term: primary.term, answer, sentAt,
			};
		} catch (err) {
			// A connection whose exchange was abandoned is never lent again: its late answer would reach another caller.
			connection.destroy();
			return isEndpointError(err) && !err.sent ? refuseNoConnection(primary, err) : refuseSilent(primary);
		} finally {
			stopWatching();
			noteEnd();
			end();
			primary.parts.pool.release(connection);
		}
	};

	const runAdmitted = async (primary: Primary, exchange: KeyedExchange, deadlineAt: number) => {
		const admission = await primary.parts.admission.enter({class: exchange.class, deadlineAt}, clock.now());
		if (!admission.admitted) {
			return answerNotRun(admission.refusal);
		}

		let served = false;
		try {
			const end = await exchangeAt(primary, exchange, deadlineAt);
			served = 'answer' in end;
			return end;
		} finally {
			admission.release(clock.now(), served);
		}
	};

	/** Waits until a primary is known that answered somebody after its last failure; false where none is by `deadlineAt`. */
	const waitForSoundPrimary = async (deadlineAt: number) => {
		while (clock.now() < deadlineAt) {
			await group.waitForChange(deadlineAt);
			const primary = findPrimary();
			if (primary && knowledge.get(primary.endpoint.name)?.failures === 0) {
				return clock.now() < deadlineAt;
			}
		}

		return false;
	};

	// Guards against a burst of filings that is refused the moment a primary is lost, although another leads a second
	// later: going back and forth between owners would use up the group's retries, and queueing at the lost one would
	// end in refusals. Nothing was sent, so the last owner asked waits for a primary that answers.
	const runConnected = async (exchange: KeyedExchange, deadlineAt: number) => {
		for (;;) {
			const primary = await waitForPrimary(deadlineAt);
			if (!primary) {
				return refuseNoPrimary();
			}

			const end = await runAdmitted(primary, exchange, deadlineAt);
			const isUnconnected = 'refusal' in end && end.refusal?.code === RefusalCode.NoConnection;
			if (!isUnconnected || !exchange.isLastOwner) {
				return end;
			}

			if (!await waitForSoundPrimary(deadlineAt)) {
				return end;
			}
		}
	};

	const runAtPrimary = async (exchange: KeyedExchange, deadlineAt: number): Promise<OwnerAnswer> => {
		if (!await group.writeGate.enter(deadlineAt)) {
			return refuseNoPrimary();
		}

		try {
			const end = await runConnected(exchange, deadlineAt);
			return 'answer' in end ? await settle(end, deadlineAt) : end;
		} finally {
			group.writeGate.leave();
		}
	};

	return {
		settle,
		waitForPrimary,
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
