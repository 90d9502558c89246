import type {EndpointLink, EndpointRequest} from '../links/endpoint-link.js';
import {createLinkLost, throwUnexpectedAnswer} from '../links/link-errors.js';
import type {AcquireRequest} from '../links/endpoint-pool.js';
import {getPreparedName, type SessionLink} from '../links/link-session.js';
import {isHostAlive} from '../membership/is-host-alive.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {PeerCalls} from '../peers/peer-calls.js';
import type {Peers} from '../peers/peers.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {SessionState} from '../statements/statement.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import {LENDER_WAIT_MS, LENDER_WAY_MS} from './lender-waits.js';
import {LoanRefusal, type LoanExchange} from './lending-calls.js';
import {createLoanEnd} from './loan-end.js';
import {createNeededOnce} from './needed-session.js';

/** A read that runs on a connection of whichever lender has one. */
export type ReadThroughOptions = {
	readonly endpointId: string;
	readonly wish: AcquireRequest;
	readonly peers: Peers;
	readonly unreachable: UnreachableHosts;
	readonly clock: Clock;
	/** Lenders to ask, in order. */
	getOrder(): readonly string[];
	/** Runs it on an own connection, as no lender answers; undefined where none came free. */
	runOnOwn(needed: LoanExchange['needed'], request: EndpointRequest): Promise<EndpointAnswer | undefined>;
	/** Told of each answer of the endpoint. */
	onHeard(): void;
	/** Told that the lenders do not reach the endpoint. */
	onUnreachable(): void;
};

/** Longest read at a lender, in milliseconds: whoever sends it bounds it far below, by the time that it may take. */
const RUN_TIMEOUT_MS = 8000;

/** Longest wait for a sign of life of a lender that owes an answer for long, in milliseconds. */
const ALIVE_TIMEOUT_MS = 150;

const DID_NOT_RUN: EndpointAnswer = {rows: [], end: {kind: 'error', code: AnswerCode.Overloaded, text: 'no lender had a connection; nothing ran'}, state: SessionState.Idle};

type Run = PeerCalls['loan-run']['res'];

/**
 * Creates what stands for a connection that is found only when its one read is sent: the read goes to the lender together with the wish for a connection, and its answer is all that comes
 * back. Half of the messages and one way there and back less than a loan that is opened first. For reads alone, since nobody knows of a request that got no answer whether it ran.
 */
export function createReadThrough(options: ReadThroughOptions): SessionLink {
	const {endpointId, wish, peers, unreachable, clock} = options;
	const loanEnd = createLoanEnd();
	const needed = createNeededOnce();
	let pending = 0;

	/** Runs the read at one lender; undefined where that does not answer. A slow endpoint is told from a dead lender by a sign of life. */
	const runAt = async (lender: string, neededNow: LoanExchange['needed'], request: EndpointRequest): Promise<Run | undefined> => {
		const waitMs = Math.max(1, Math.min(LENDER_WAIT_MS, wish.until - clock.now()));
		try {
			const asked = peers.call(lender, 'loan-run', {
				endpointId, priority: wish.priority, waitMs, values: [...wish.values], workspace: wish.workspace, single: true, least: wish.least, epoch: wish.read?.epoch, needed: neededNow, request,
			}, RUN_TIMEOUT_MS);
			const first = await withinMs(clock, waitMs + LENDER_WAY_MS, asked);
			if (first.timedOut && !await isHostAlive(peers, lender, ALIVE_TIMEOUT_MS)) {
				unreachable.add(lender, clock.now());
				return undefined;
			}

			const run = await asked;
			unreachable.delete(lender);
			return run;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			unreachable.add(lender, clock.now());
			return undefined;
		}
	};

	/** Asks each lender once; the answer, or why the last one that answered did not run it. */
	const runAtAny = async (neededNow: LoanExchange['needed'], request: EndpointRequest): Promise<EndpointAnswer | LoanRefusal | undefined> => {
		let last: LoanRefusal | undefined;
		for (const lender of options.getOrder()) {
			const run = await runAt(lender, neededNow, request);
			if (run && 'refused' in run) {
				if (run.refused === LoanRefusal.Stopping) {
					unreachable.add(lender, clock.now());
				} else {
					last = getMoreHopeful(last, run.refused);
				}
			} else if (run?.answer) {
				return run.answer;
			} else if (run && !run.over) {
				throw createLinkLost(lender, 'the endpoint ended the connection under the read');
			}

			if (loanEnd.closed || clock.now() >= wish.until) {
				break;
			}
		}

		return last;
	};

	const runAnywhere = async (request: EndpointRequest): Promise<EndpointAnswer> => {
		const neededNow = needed.take();
		do {
			const run = await runAtAny(neededNow, request);
			if (typeof run === 'object') {
				return run;
			}

			if (run === LoanRefusal.Unreachable) {
				options.onUnreachable();
			}

			if (run === LoanRefusal.Unreachable || run === LoanRefusal.Unproven) {
				return DID_NOT_RUN;
			}

			if (run === undefined) {
				return await options.runOnOwn(neededNow, request) ?? DID_NOT_RUN;
			}
		} while (!loanEnd.closed && clock.now() < wish.until);

		return DID_NOT_RUN;
	};

	const link: EndpointLink = {
		get pending() {
			return pending;
		},
		get closed() {
			return loanEnd.closed;
		},
		async exchange(request) {
			pending++;
			try {
				const answer = await runAnywhere(request);
				if (answer !== DID_NOT_RUN) {
					options.onHeard();
				}

				return answer;
			} finally {
				pending--;
			}
		},
		async readStatus(request) {
			return throwUnexpectedAnswer(endpointId, request.command.kind);
		},
		cut: loanEnd.close,
		close: loanEnd.close,
		onClose: loanEnd.onClose,
	};

	return {
		link,
		// Values are set by the lender, which knows what its connection has.
		matches: () => true,
		getName: getPreparedName,
		adapt: needed.set,
	};
}

/** Of two reasons the one that asking again may mend soonest. */
function getMoreHopeful(left: LoanRefusal | undefined, right: LoanRefusal): LoanRefusal {
	const order = [LoanRefusal.Busy, LoanRefusal.Unproven, LoanRefusal.Unreachable] as readonly LoanRefusal[];
	return left !== undefined && order.indexOf(left) <= order.indexOf(right) ? left : right;
}
