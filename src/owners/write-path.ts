import {
	EndpointRole, KeyedWriteResult, type EndpointConnection, type KeyedWriteAnswer,
} from '../endpoints/endpoint.js';
import {isEndpointError} from '../endpoints/endpoint-errors.js';
import {Durability, type EndpointConfig, type WorkClass} from '../groups/group-config.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {OwnerResponse, OwnerRequest, ResolveRequest} from '../routing/owner-request.js';
import {Confirmation, isHolding} from './confirmer.js';
import type {GroupParts, Primary} from './group-parts.js';
import {answerNotRun} from './owner-answers.js';
import {isTellingFailure, type GivenTime} from './telling-failure.js';
import {createWriteAnswers} from './write-answers.js';

/**
 * Runs keyed exchanges at a group's primary and answers only what a majority has confirmed.
 */
export type WritePath = {
	write(req: OwnerRequest, deadlineAt: number): Promise<OwnerResponse>;
	/** Settles what stands under a key; inserts a confirmed tombstone where nothing does. */
	resolve(req: ResolveRequest, deadlineAt: number): Promise<OwnerResponse>;
	/**
	 * Enters the write gate as soon as a primary takes work, and tells which; whoever entered leaves the gate.
	 * Undefined, and not entered, where none does by `deadlineAt`.
	 */
	enterAtPrimary(deadlineAt: number): Promise<Primary | undefined>;
	/** Confirms a primary's keyed answer and turns it into the owner's. */
	settle(exchange: SettledExchange, deadlineAt: number): Promise<OwnerResponse>;
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

/**
 * Part of the remaining time that an exchange may take, and the least that it is given where that much is left, in milliseconds.
 *
 * Guards against a filing that waits for its deadline on a connection that has gone silent: the rest is for other tries
 * under the same key, which wait for the first one's end where that is merely slow. A short deadline leaves no time for
 * another try, so there the exchange has all of it.
 */
const TRY_SHARE = 0.25;
const LEAST_TRY_MS = 1000;

/** The primary was told to leave before the exchange was sent; the next one may take it. */
const PRIMARY_LEAVES = 'primary-leaves';

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
	const answers = createWriteAnswers(group);

	const findPrimary = (): Primary | undefined => {
		const endpoint = knowledge.getPrimary();
		if (!endpoint || !group.mayTakeWork(endpoint, clock.now())) {
			return undefined;
		}

		const parts = group.getParts(endpoint.name);
		const term = knowledge.get(endpoint.name)?.status?.term;
		return parts && term !== undefined ? {endpoint, parts, term} : undefined;
	};

	// Guards against a planned change that never comes about: it waits until nobody is inside the gate, so whoever
	// waits for that change's new primary must do so outside.
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

	const noteFailure = (primary: Primary, given: GivenTime) => {
		if (isTellingFailure(given, clock.now())) {
			group.suspect(primary.endpoint.name, clock.now());
		}
	};

	// Guards against acknowledging a write on the word of a primary that has been superseded: its own answer
	// looks like any other. Whatever it says of a key counts only once a majority shows the same term.
	const getConfirmation = async ({term, primary, answer}: SettledExchange, deadlineAt: number) => {
		const {status} = answer;
		if (status.role !== EndpointRole.Primary || !isHolding(status, term, status.log.position)) {
			return Confirmation.Superseded;
		}

		// A group may choose to lose what it acknowledged with its primary, but "not run" must outlive every promotion: what
		// it rests on has to be held by a majority.
		const saysNotRun = answer.result === KeyedWriteResult.Tombstone || answer.result === KeyedWriteResult.Mismatch;
		if (group.getGroup().cfg.durability === Durability.Primary && !saysNotRun) {
			const round = await group.barrier.take(deadlineAt);
			return round?.floor.term === term ? Confirmation.Confirmed : Confirmation.TimedOut;
		}

		return group.confirmer.confirm({
			term, position: status.log.position, shownBy: primary.name, status, deadlineAt,
		});
	};

	const settle = async (exchange: SettledExchange, deadlineAt: number): Promise<OwnerResponse> => {
		const {term, primary, answer} = exchange;
		knowledge.observe(primary.name, answer.status, clock.now());
		switch (answer.result) {
			case KeyedWriteResult.NotPrimary: {
				group.suspect(primary.name, clock.now());
				return answers.refuseSuperseded(primary.name, term, false);
			}

			case KeyedWriteResult.Failed: {
				return answers.refuseFailed(primary, term, answer);
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

			return answers.answerConfirmed(primary, answer);
		}

		group.suspect(primary.name, clock.now());
		return confirmation === Confirmation.Superseded
			? answers.refuseSuperseded(primary.name, term, true)
			: answers.refuseNotConfirmed(primary, term, answer);
	};

	// Guards against a filing that hangs on a lost primary until its deadline, although another primary could take
	// it long before: once a higher term is seen the exchange is abandoned, and the next try goes there with the same key.
	const cutWhenSuperseded = (primary: Primary, connection: EndpointConnection) => group.onChange(() => {
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
			return answers.refuseNoConnection(primary, err);
		}

		// Guards against work that waited for its turn while the primary was told to leave: the wait may be long.
		if (!group.mayTakeWork(primary.endpoint, clock.now())) {
			primary.parts.pool.release(connection);
			return PRIMARY_LEAVES;
		}

		const stopWatching = cutWhenSuperseded(primary, connection);
		const noteEnd = group.silence.begin(primary.endpoint.name);
		const sentAt = clock.now();
		const remainingMs = Math.max(1, deadlineAt - sentAt);
		const timeoutMs = Math.min(remainingMs, Math.max(LEAST_TRY_MS, remainingMs * TRY_SHARE));
		const end = group.running.begin(primary.endpoint.name, {what: exchange.what, requestId: exchange.requestId, since: sentAt});
		try {
			const answer = await exchange.run(connection, primary.term, timeoutMs);
			return {
				primary: primary.endpoint, term: primary.term, answer, sentAt,
			};
		} catch (err) {
			// A connection whose exchange was abandoned is never lent again: its late answer would reach another caller.
			connection.destroy();
			noteFailure(primary, {startedAt: sentAt, until: sentAt + timeoutMs});
			return isEndpointError(err) && !err.sent ? answers.refuseNoConnection(primary, err) : answers.refuseSilent(primary);
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
			return answerNotRun(admission.refusal);
		}

		let served = false;
		try {
			const end = await exchangeAt(primary, exchange, deadlineAt);
			served = end !== PRIMARY_LEAVES && 'answer' in end;
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

	/** Runs the exchange at the primary of the moment, inside the gate; undefined where that primary was told to leave first. */
	const runOnce = async (exchange: KeyedExchange, deadlineAt: number): Promise<OwnerResponse | undefined> => {
		const primary = await enterAtPrimary(deadlineAt);
		if (!primary) {
			return answers.refuseNoPrimary();
		}

		try {
			const end = await runAdmitted(primary, exchange, deadlineAt);
			if (end === PRIMARY_LEAVES) {
				return undefined;
			}

			return 'answer' in end ? await settle(end, deadlineAt) : end;
		} finally {
			group.writeGate.leave();
		}
	};

	// Guards against a burst of filings that is refused the moment a primary is lost, although another leads a second
	// later: going back and forth between owners would use up the group's retries, and queueing at the lost one would
	// end in refusals. Nothing was sent, so the last owner asked waits for a primary that answers.
	const runAtPrimary = async (exchange: KeyedExchange, deadlineAt: number): Promise<OwnerResponse> => {
		for (;;) {
			const answer = await runOnce(exchange, deadlineAt);
			if (!answer) {
				continue;
			}

			const isUnconnected = answer.refusal?.code === RefusalCode.NoConnection;
			if (!isUnconnected || !exchange.isLastOwner || !await waitForSoundPrimary(deadlineAt)) {
				return answer;
			}
		}
	};

	return {
		settle,
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
