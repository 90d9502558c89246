import type {EndpointLink, EndpointRequest} from '../links/endpoint-link.js';
import {createLinkLost, throwUnexpectedAnswer} from '../links/link-errors.js';
import {getPreparedName, type SessionLink} from '../links/link-session.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {PeerCalls} from '../peers/peer-calls.js';
import type {Peers} from '../peers/peers.js';
import {SessionState} from '../statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {createLoanEnd} from './loan-end.js';
import {createNeededOnce} from './needed-session.js';

/** A connection that another host lends. */
export type BorrowedLink = SessionLink & {
	/** Gives it back; it is used no more. */
	giveBack(): void;
};

/** What a borrowed link needs. */
export type BorrowedLinkOptions = {
	readonly peers: Peers;
	/** `ip:port` of the lender. */
	readonly lender: string;
	readonly loan: string;
	/** The first answer ends the loan, so that no message of its own has to. */
	readonly single: boolean;
	/** Told of each answer of the endpoint. */
	onHeard(): void;
};

/** Longest exchange with a lender, in milliseconds: whoever sends a statement bounds it far below, by the time that the statement may take. */
const EXCHANGE_TIMEOUT_MS = 8000;

/** Longest message that ends a loan, in milliseconds; one that is lost is made up for by the lender's own watch. */
const END_TIMEOUT_MS = 1000;

/** What an endpoint says to a request that it turned away, for one that never reached it: so it is tried again, or its transaction ends. */
const DID_NOT_RUN: EndpointAnswer = {rows: [], end: {kind: 'error', code: AnswerCode.Overloaded, text: 'the loan was over; nothing ran'}, state: SessionState.Idle};
const ROLLED_BACK: EndpointAnswer = {rows: [], end: {kind: 'error', code: AnswerCode.Aborted, text: 'the loan was over; the transaction was rolled back'}, state: SessionState.Idle};

/**
 * Creates the borrower's end of a loan. A lender that dies, or is not heard, is a connection that was lost: what was sent on it may
 * have run, and a transaction on it is rolled back, since only the borrower would commit it. A request that was never sent, or met a loan
 * that was over, did not run for certain.
 */
export function createBorrowedLink({peers, lender, loan, single, onHeard}: BorrowedLinkOptions): BorrowedLink {
	const loanEnd = createLoanEnd();
	const needed = createNeededOnce();
	let turn = 0;
	let pending = 0;
	/** State of the connection after its last answer. */
	let state: SessionState = SessionState.Idle;

	const end = (cut: boolean) => {
		loanEnd.close();
		peers.call(lender, 'loan-end', {loan, cut}, END_TIMEOUT_MS).catch(ignoreUnheard);
	};

	const send = async (request: EndpointRequest): Promise<PeerCalls['loan-exchange']['res']> => {
		try {
			turn++;
			return await peers.call(lender, 'loan-exchange', {
				loan, turn, needed: needed.take(), request, last: single,
			}, EXCHANGE_TIMEOUT_MS);
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			return err.sent ? {} : {over: true};
		}
	};

	const link: EndpointLink = {
		get pending() {
			return pending;
		},
		get closed() {
			return loanEnd.closed;
		},
		async exchange(request) {
			if (loanEnd.closed) {
				throw createLinkLost(lender, 'the loan had ended before');
			}

			pending++;
			const {answer, over} = await send(request);
			pending--;
			if (over) {
				// The lender that was not reached may still live, with the transaction open.
				end(true);
				return state === SessionState.Idle ? DID_NOT_RUN : ROLLED_BACK;
			}

			if (!answer) {
				loanEnd.close();
				throw createLinkLost(lender, 'its lender or the endpoint ended it');
			}

			state = answer.state;
			onHeard();
			return answer;
		},
		async readStatus(request) {
			return throwUnexpectedAnswer(lender, request.command.kind);
		},
		cut() {
			end(true);
		},
		close() {
			end(true);
		},
		onClose: loanEnd.onClose,
	};

	return {
		link,
		// Values are set by the lender, which knows what its connection has.
		matches: () => true,
		getName: getPreparedName,
		adapt: needed.set,
		giveBack() {
			if (single && turn > 0) {
				loanEnd.close();
			} else if (!loanEnd.closed) {
				end(false);
			}
		},
	};
}

/** A loan whose end is not heard is ended by the lender's own watch. */
function ignoreUnheard(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
