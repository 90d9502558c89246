import type {EndpointLink} from '../links/endpoint-link.js';
import {createLinkLost, throwSessionNeeded, throwUnexpectedAnswer} from '../links/link-errors.js';
import type {NeededSession, SessionLink, SessionRequest} from '../links/link-session.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {PeerCalls} from '../peers/peer-calls.js';
import type {Peers} from '../peers/peers.js';
import {SessionState} from '../statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import type {CheckoutLoad} from './checkout-calls.js';
import {createCloseState} from './close-state.js';
import {VersionSign, type EarlierVersions} from './earlier-versions.js';
import {isKnownToEveryVersion, toNeededOnWire, toRequestOnWire} from './prepared-on-wire.js';
import {getTooLargeAnswer} from './too-large-request.js';

/** A connection that is checked out at another host. */
export type RemoteLink = SessionLink & {
	/** Returns the connection; it must not be used afterwards. */
	release(): void;
};

/** What a remote link needs. */
export type RemoteLinkOptions = {
	readonly peers: Peers;
	/** `ip:port` of the pool host. */
	readonly poolHost: string;
	readonly checkoutId: string;
	/** Whether the first answer ends the checkout, so that no message of its own is needed. */
	readonly single: boolean;
	/** Called after each answer of the endpoint. */
	onReceived(): void;
	/** Called with the endpoint's load where the pool host sends it along. */
	onLoad?(response: CheckoutLoad): void;
	readonly earlierVersions?: EarlierVersions;
};

/** Timeout for an exchange with a pool host, in milliseconds: the sender of a statement bounds it by a far shorter time. */
const EXCHANGE_TIMEOUT_MS = 8000;

/** Timeout for the message that ends a checkout, in milliseconds; where it is lost, the pool host revokes the checkout itself. */
const END_TIMEOUT_MS = 1000;

/** Answers for a request that never reached the endpoint, the same as those to one that it rejected: so the request is tried again, or its transaction ends. */
const DID_NOT_RUN: EndpointAnswer = createRefusal(AnswerCode.Overloaded, 'the loan was over; nothing ran');
const NOT_RUN_BY_EARLIER_VERSION: EndpointAnswer = createRefusal(AnswerCode.Overloaded, 'the host with the connection has an earlier version and cannot run the statement; nothing ran');
const ROLLED_BACK: EndpointAnswer = createRefusal(AnswerCode.Aborted, 'the loan was over; the transaction was rolled back');

/** The response to a request, or how the request could not be sent. */
type SentExchange = PeerCalls['loan-exchange']['res'] & {
	/** Whether the pool host does not know the call, because its version is an earlier one. */
	readonly isUnknownKind?: boolean;
};

/**
 * Creates the remote host's side of a checkout. A pool host that fails, or does not answer, counts as a lost connection: a request that was sent on it may
 * have run, and a transaction on it is rolled back, since only the remote host would commit it. A request that was never sent, or arrived after the
 * checkout had ended, certainly did not run.
 */
export function createRemoteLink({peers, poolHost, checkoutId, single, onReceived, onLoad, earlierVersions}: RemoteLinkOptions): RemoteLink {
	const closeState = createCloseState();
	let turn = 0;
	let pending = 0;
	/** State of the connection after its last answer. */
	let state: SessionState = SessionState.Idle;

	const end = (cut: boolean) => {
		closeState.close();
		peers.call(poolHost, 'loan-end', {loan: checkoutId, cut}, END_TIMEOUT_MS).catch(ignorePeerError);
	};

	const send = async (request: SessionRequest, needed: NeededSession | undefined): Promise<SentExchange> => {
		try {
			turn++;
			return await peers.call(poolHost, isKnownToEveryVersion(request, needed?.prepared) ? 'loan-exchange' : 'loan-exchange-shape', {
				loan: checkoutId, turn, needed: needed && toNeededOnWire(needed), request: toRequestOnWire(request, needed?.prepared), last: single,
			}, EXCHANGE_TIMEOUT_MS);
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			if (err.isUnknownKind) {
				earlierVersions?.note(VersionSign.Refused, poolHost);
			}

			return err.sent ? {} : {over: true, isUnknownKind: err.isUnknownKind};
		}
	};

	const exchange = async (request: SessionRequest, needed?: NeededSession): Promise<EndpointAnswer> => {
		if (closeState.closed) {
			throw createLinkLost(poolHost, 'the checkout had ended before');
		}

		const tooLarge = getTooLargeAnswer(request, needed, state);
		if (tooLarge) {
			return tooLarge;
		}

		pending++;
		const response = await send(request, needed);
		const {answer, over, isUnknownKind = false} = response;
		pending--;
		onLoad?.(response);
		if (over) {
			// A pool host that was not reached may still be alive, with the transaction open. One that does not know the call cuts the connection only where a transaction is open on it.
			end(!isUnknownKind);
			return state === SessionState.Idle ? (isUnknownKind ? NOT_RUN_BY_EARLIER_VERSION : DID_NOT_RUN) : ROLLED_BACK;
		}

		if (!answer) {
			closeState.close();
			throw createLinkLost(poolHost, 'the pool host or the endpoint ended it');
		}

		state = answer.state;
		onReceived();
		return answer;
	};

	const link: EndpointLink = {
		get pending() {
			return pending;
		},
		get closed() {
			return closeState.closed;
		},
		async exchange(request) {
			return request.command.kind === 'execute' ? throwSessionNeeded(poolHost) : exchange({...request, command: request.command});
		},
		async readStatus(request) {
			return throwUnexpectedAnswer(poolHost, request.command.kind);
		},
		cut() {
			end(true);
		},
		close() {
			end(true);
		},
		onClose: closeState.onClose,
	};

	return {
		link,
		// The pool host sets the values, since it knows which ones its connection has.
		matches: () => true,
		exchange,
		release() {
			if (single && turn > 0) {
				closeState.close();
			} else if (!closeState.closed) {
				end(false);
			}
		},
	};
}

function createRefusal(code: AnswerCode, text: string): EndpointAnswer {
	return {
		rows: [],
		end: {
			kind: 'error', code, text, isOwn: true,
		},
		state: SessionState.Idle,
	};
}

/** Does nothing: a checkout whose end message is lost is revoked by the pool host. */
function ignorePeerError(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
