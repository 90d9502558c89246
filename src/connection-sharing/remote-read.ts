import type {EndpointLink} from '../links/endpoint-link.js';
import {createLinkLost, throwSessionNeeded, throwUnexpectedAnswer} from '../links/link-errors.js';
import type {AcquireRequest} from '../links/endpoint-pool.js';
import type {NeededSession, SessionLink, SessionRequest} from '../links/link-session.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {PeerCalls} from '../peers/peer-calls.js';
import type {Peers} from '../peers/peers.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {SessionState} from '../statements/statement.js';
import type {Clock} from '../time/clock.js';
import {CheckoutRefusal, type CheckoutLoad} from './checkout-calls.js';
import {allowForLostTime, createCheckoutRequest} from './checkout-opener.js';
import {createCloseState} from './close-state.js';
import {VersionSign, type EarlierVersions} from './earlier-versions.js';
import {isKnownToEveryVersion, toNeededOnWire, toRequestOnWire} from './prepared-on-wire.js';
import type {PoolHostWait} from './pool-host-wait.js';
import {REFUSED_RETRY_DELAY_MS} from './single-place-acquire.js';
import {getTooLargeAnswer} from './too-large-request.js';
import {TurnWait} from './turn-wait.js';
import type {WaitIds} from './wait-ids.js';

/** What a remote read needs. */
export type RemoteReadOptions = {
	readonly endpointId: string;
	readonly acquireRequest: AcquireRequest;
	readonly peers: Peers;
	readonly unreachable: UnreachableHosts;
	readonly clock: Clock;
	/** Returns the pool hosts to ask, in order. */
	getPoolHosts(): readonly string[];
	/** Runs the read on a connection of this host where no pool host answers; resolves with undefined where none came free. */
	runOnOwn(request: SessionRequest, needed: NeededSession | undefined): Promise<EndpointAnswer | undefined>;
	/** Called after each answer of the endpoint. */
	onReceived(): void;
	/** Called where the pool hosts do not reach the endpoint. */
	onUnreachable(): void;
	/** How long the read waits at one pool host; by default a short time at each in turn. */
	readonly wait?: PoolHostWait;
	/** Names the read while it waits, so that it can be ended; undefined where it always waits to its end. */
	readonly waitIds?: WaitIds;
	readonly earlierVersions?: EarlierVersions;
	/** Called with each response of a pool host. */
	onResponse?(poolHost: string, response: CheckoutLoad): void;
};

/** Timeout for a read at a pool host, in milliseconds: the sender of a read bounds it by a far shorter time. */
const RUN_TIMEOUT_MS = 8000;

const DID_NOT_RUN: EndpointAnswer = {
	rows: [],
	end: {
		kind: 'error', code: AnswerCode.Overloaded, text: 'no lender had a connection; nothing ran', isOwn: true,
	},
	state: SessionState.Idle,
	unsent: true,
};

type Run = PeerCalls['loan-run']['res'];

/**
 * Creates a session link for one read whose connection is chosen only when the read is sent: the read goes to a pool host together with the checkout request, and only its answer comes
 * back. This takes half of the messages, and one round trip less, than a checkout that is opened first. It serves reads only, since a request without an answer may have run.
 */
export function createRemoteRead(options: RemoteReadOptions): SessionLink {
	const {endpointId, acquireRequest, peers, unreachable, clock, waitIds} = options;
	const wait = options.wait ?? new TurnWait({peers, clock});
	const closeState = createCloseState();
	let pending = 0;
	/** Time for which the read has waited at pool hosts that failed or refused it, in milliseconds. */
	let lostMs = 0;

	/** Returns whether the read is still to run; once it is not, it ends at its pool host too where it only waits there. */
	const isWanted = () => !closeState.closed && acquireRequest.isWanted?.() !== false;

	/** Runs the read at one pool host; resolves with undefined where that does not answer. A heartbeat distinguishes a slow endpoint from a failed pool host. */
	const runAt = async (poolHost: string, request: SessionRequest, needed: NeededSession | undefined): Promise<Run | undefined> => {
		const now = clock.now();
		const waitMs = Math.max(1, wait.getWaitMs(acquireRequest.until, now));
		const checkoutRequest = createCheckoutRequest(endpointId, allowForLostTime(acquireRequest, lostMs), waitMs, now, waitIds?.next());
		try {
			const response = peers.call(poolHost, isKnownToEveryVersion(request, needed?.prepared) ? 'loan-run' : 'loan-run-shape', {
				...checkoutRequest,
				single: true,
				epoch: acquireRequest.read?.epoch,
				needed: needed && toNeededOnWire(needed),
				request: toRequestOnWire(request, needed?.prepared),
			}, RUN_TIMEOUT_MS);
			const run = await wait.whenRun(poolHost, waitMs, response, isWanted);
			if (run) {
				lostMs += 'refused' in run ? clock.now() - now : 0;
				unreachable.delete(poolHost);
				options.onResponse?.(poolHost, run);
				return run;
			}

			lostMs += clock.now() - now;
			if (checkoutRequest.waitId !== undefined) {
				waitIds?.end(poolHost, checkoutRequest.waitId);
			}

			if (isWanted()) {
				unreachable.add(poolHost, clock.now());
			}

			return undefined;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			// A pool host of an earlier version refuses this one call and serves all others.
			if (err.isUnknownKind) {
				options.earlierVersions?.note(VersionSign.Refused, poolHost);
			} else {
				unreachable.add(poolHost, clock.now());
			}

			return undefined;
		}
	};

	/** Asks each pool host once; resolves with the answer, else with the most transient reason of those that refused, or undefined where none gave one. */
	const runAtAny = async (request: SessionRequest, needed: NeededSession | undefined): Promise<EndpointAnswer | CheckoutRefusal | undefined> => {
		let refusal: CheckoutRefusal | undefined;
		for (const poolHost of options.getPoolHosts()) {
			const run = await runAt(poolHost, request, needed);
			if (run && 'refused' in run && run.refused === CheckoutRefusal.Hopeless) {
				if (run.queue) {
					acquireRequest.onRefused?.(run.queue);
				}

				return run.refused;
			}

			if (run && 'refused' in run) {
				if (run.refused === CheckoutRefusal.Stopping) {
					unreachable.add(poolHost, clock.now());
				} else {
					refusal = getMoreTransient(refusal, run.refused);
				}
			} else if (run?.answer) {
				return run.answer;
			} else if (run && !run.over) {
				throw createLinkLost(poolHost, 'the endpoint ended the connection during the read');
			}

			if (!isWanted() || clock.now() >= acquireRequest.until) {
				break;
			}
		}

		return refusal;
	};

	const runAnywhere = async (request: SessionRequest, needed: NeededSession | undefined): Promise<EndpointAnswer> => {
		do {
			const run = await runAtAny(request, needed);
			if (typeof run === 'object') {
				return run;
			}

			if (run === CheckoutRefusal.Unreachable) {
				options.onUnreachable();
			}

			if (run === CheckoutRefusal.Unreachable || run === CheckoutRefusal.NoLease || run === CheckoutRefusal.Hopeless) {
				return DID_NOT_RUN;
			}

			if (run === undefined && isWanted()) {
				return await options.runOnOwn(request, needed) ?? DID_NOT_RUN;
			}

			if (waitIds) {
				// Each pool host refused before the read's time was over.
				await clock.sleep(Math.max(0, Math.min(REFUSED_RETRY_DELAY_MS, acquireRequest.until - clock.now())));
			}
		} while (isWanted() && clock.now() < acquireRequest.until);

		return DID_NOT_RUN;
	};

	const exchange = async (request: SessionRequest, needed?: NeededSession): Promise<EndpointAnswer> => {
		const tooLarge = getTooLargeAnswer(request, needed, SessionState.Idle);
		if (tooLarge) {
			return tooLarge;
		}

		pending++;
		try {
			// The caller may set other values while the read still waits to be sent to a further pool host.
			const answer = await runAnywhere(request, needed && {...needed, values: new Map(needed.values)});
			if (answer !== DID_NOT_RUN) {
				options.onReceived();
			}

			return answer;
		} finally {
			pending--;
		}
	};

	const link: EndpointLink = {
		get pending() {
			return pending;
		},
		get closed() {
			return closeState.closed;
		},
		async exchange(request) {
			return request.command.kind === 'execute' ? throwSessionNeeded(endpointId) : exchange({...request, command: request.command});
		},
		async readStatus(request) {
			return throwUnexpectedAnswer(endpointId, request.command.kind);
		},
		cut: closeState.close,
		close: closeState.close,
		onClose: closeState.onClose,
	};

	return {
		link,
		isSentAhead: true,
		// The pool host sets the values, since it knows which ones its connection has.
		matches: () => true,
		exchange,
	};
}

/** Returns that one of two reasons for which a retry may succeed soonest. */
function getMoreTransient(left: CheckoutRefusal | undefined, right: CheckoutRefusal): CheckoutRefusal {
	const order = [CheckoutRefusal.Busy, CheckoutRefusal.NoLease, CheckoutRefusal.Unreachable] as readonly CheckoutRefusal[];
	return left !== undefined && order.indexOf(left) <= order.indexOf(right) ? left : right;
}
