import {LinkError} from '../links/link-errors.js';
import type {QueueRefusal} from '../links/endpoint-pool.js';
import type {EndpointDirectory, KnownEndpoint} from '../links/endpoint-directory.js';
import type {SessionLink} from '../links/link-session.js';
import type {PrimaryLeases} from '../leadership/primary-leases.js';
import type {Log} from '../log/log.js';
import type {Peers} from '../peers/peers.js';
import type {PlacementKnowledge} from '../placement/placement-knowledge.js';
import type {Random} from '../random/random.js';
import {createRequestId} from '../random/request-id.js';
import {SessionState} from '../statements/statement.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {boundAnswer} from './bound-answer.js';
import {
	CheckoutRefusal, type CheckoutLoad, type CheckoutResponse, type CheckoutExchange, type CheckoutRequest, type CheckoutRun,
} from './checkout-calls.js';
import type {HostWatch} from './host-watch.js';
import {VersionSign, type EarlierVersions} from './earlier-versions.js';
import {fromNeededOnWire, fromRequestOnWire, isKnownToEveryVersion} from './prepared-on-wire.js';
import {createWaitingPlaces} from './waiting-places.js';

/** Serves checkouts of this host's connections to hosts that keep none. */
export type CheckoutServer = {
	/** Number of connections that are checked out. */
	readonly checkouts: number;
	/** Refuses further checkouts; those that are open may be used until they end. */
	retire(): void;
	/**
	 * Refuses further checkouts and revokes those that have no request in flight, with a rollback of their transactions; each other one is revoked once its request is answered.
	 * Remote hosts learn of it by their next request.
	 */
	revokeIdle(reason: string): void;
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** What the checkout server needs. */
export type CheckoutServerOptions = {
	readonly peers: Peers;
	readonly directory: EndpointDirectory;
	readonly primaryLeases: PrimaryLeases;
	readonly knowledge: PlacementKnowledge;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly log: Log;
	/** Set with scheduling: requests give up their place where their remote host is silent, and responses carry the endpoint's load. */
	readonly hostWatch?: HostWatch;
	readonly earlierVersions?: EarlierVersions;
	/** Returns the maximum idle time between two requests of a checkout, in milliseconds. */
	getMaxIdleMs(): number;
};

/** Interval of the check for checkouts whose remote host may have failed, in milliseconds. */
const SWEEP_INTERVAL_MS = 250;

/** Time beyond the idle time that callers are allowed, after which a silent remote host is taken for failed, in milliseconds: enough for the transfer of a few messages. */
const IDLE_MARGIN_MS = 1000;

/**
 * Time after which a checkout that was never used is revoked, in milliseconds: it was granted to a remote host that had given up waiting, since a remote host sends its statement as soon
 * as it has the connection. Kept for the whole idle time, such checkouts would block an endpoint's few connections for seconds each.
 */
const UNUSED_TIMEOUT_MS = 400;

/**
 * Response to a request on a checkout that has ended. Guards against a commit whose outcome is reported as unknown although it reached no endpoint: a connection that is lost during a request,
 * where the outcome is unknown, is answered otherwise. The response is reliable since neither an ended checkout nor its id is ever used again.
 */
const CHECKOUT_OVER = {over: true} as const;

/** A connection that a remote host uses. */
type Checkout = {
	readonly id: string;
	readonly remoteHost: string;
	readonly endpoint: KnownEndpoint;
	readonly sessionLink: SessionLink;
	/** State of the connection after its last answer. */
	state: SessionState;
	/** Number of requests so far. */
	turn: number;
	/** Steady time of the last request or answer, at first that of the checkout. */
	lastAt: number;
};

/** Creates a checkout server without checkouts. */
export function createCheckoutServer(options: CheckoutServerOptions): CheckoutServer {
	const {
		peers, directory, primaryLeases, knowledge, clock, elapsedClock, random, hostWatch, getMaxIdleMs,
	} = options;
	const log = options.log.withPrefix('loans: ');
	const checkouts = new Map<string, Checkout>();
	const places = createWaitingPlaces({clock, hostWatch});
	const stopping = createSleepAlarm();
	let retired = false;
	/** Why every checkout is revoked once it has no request in flight; undefined while none is. */
	let revokeReason: string | undefined;

	const end = (checkout: Checkout, cut: boolean) => {
		if (!checkouts.delete(checkout.id)) {
			return;
		}

		// Guards against the next remote host's statement inside this one's transaction, or behind a statement that this one has abandoned.
		if (cut || checkout.state !== SessionState.Idle || checkout.sessionLink.link.pending > 0) {
			checkout.sessionLink.link.cut();
		}

		checkout.endpoint.ownPool.release(checkout.sessionLink);
	};

	const revoke = (checkout: Checkout, why: string, cut: boolean) => {
		log.info(`a checkout is revoked: ${why}`, {
			loan: checkout.id, borrower: checkout.remoteHost, endpoint: checkout.endpoint.entry.id, state: checkout.state, restMs: Math.round(clock.now() - checkout.lastAt),
		});
		end(checkout, cut);
	};

	/**
	 * Guards against a commit that is interrupted by the end of this process, so that its outcome is unknown. A request in flight gets its answer; every
	 * later one is answered as not run.
	 */
	const revokeIfIdle = (checkout: Checkout) => {
		if (revokeReason !== undefined && checkout.sessionLink.link.pending === 0) {
			revoke(checkout, revokeReason, false);
		}
	};

	const openCheckout = async (request: CheckoutRequest, remoteHost: string, isRead = false): Promise<CheckoutResponse> => {
		const endpoint = directory.get(request.endpointId);
		if (retired) {
			return {refused: CheckoutRefusal.Stopping};
		}

		if (!endpoint || endpoint.ownPool.health.getSuspicion(clock.now())) {
			return {refused: CheckoutRefusal.Unreachable};
		}

		const {ownPool} = endpoint;
		const {sessionLink, refusal} = await places.wait(ownPool, {...request, isRead}, remoteHost);
		if (retired) {
			// The host was ordered to stop during the wait: a transaction would begin on a host that is about to end.
			if (sessionLink) {
				ownPool.release(sessionLink);
			}

			return {refused: CheckoutRefusal.Stopping};
		}

		if (!sessionLink && refusal) {
			return {refused: CheckoutRefusal.Hopeless, queue: refusal};
		}

		if (!sessionLink) {
			return {refused: ownPool.health.getSuspicion(clock.now()) ? CheckoutRefusal.Unreachable : CheckoutRefusal.Busy};
		}

		const checkout: Checkout = {
			id: createRequestId(clock.wall(), random),
			remoteHost,
			endpoint,
			sessionLink,
			state: SessionState.Idle,
			turn: 0,
			lastAt: clock.now(),
		};
		checkouts.set(checkout.id, checkout);
		return {loan: checkout.id};
	};

	const exchange = async ({loan: id, turn, needed, request, last}: CheckoutExchange, remoteHost: string, isRead = false) => {
		const checkout = checkouts.get(id);
		if (checkout?.remoteHost !== remoteHost) {
			return CHECKOUT_OVER;
		}

		checkout.turn++;
		if (turn !== checkout.turn) {
			// Guards against a statement that runs without the previous one, which was lost with a link between the hosts.
			end(checkout, true);
			return {};
		}

		if (checkout.sessionLink.link.closed) {
			end(checkout, true);
			return CHECKOUT_OVER;
		}

		checkout.lastAt = clock.now();
		try {
			const sentAt = elapsedClock.elapsed();
			const {group, id: endpointId} = checkout.endpoint.entry;
			const isPrimary = primaryLeases.get(group, sentAt)?.primaryId === endpointId;
			const answer = await checkout.sessionLink.exchange(fromRequestOnWire(request), needed && fromNeededOnWire(needed));
			checkout.lastAt = clock.now();
			checkout.state = answer.state;
			if (isPrimary && answer.position && answer.state === SessionState.Idle) {
				knowledge.getSamples(group).note(sentAt, answer.position);
			}

			if (last) {
				end(checkout, false);
			} else {
				revokeIfIdle(checkout);
			}

			return {answer: boundAnswer(answer, isRead)};
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			end(checkout, true);
			return {};
		}
	};

	/**
	 * Returns whether this host holds the primary lease of the read's epoch. Guards against a read at a superseded primary: the remote host's lease may expire while the read waits here for a
	 * connection, so this host's own lease has to be held when the read is sent.
	 */
	const holdsLease = ({endpointId, epoch}: CheckoutRun) => {
		const lease = primaryLeases.get(directory.get(endpointId)?.entry.group ?? '', elapsedClock.elapsed());
		return epoch === undefined || (lease?.epoch === epoch && lease.primaryId === endpointId);
	};

	/** Whether a read may still be sent after its wait here; the endpoint may have become due to leave meanwhile. */
	const mayRun = (req: CheckoutRun) => holdsLease(req) && directory.mayTakeWork(req.endpointId, elapsedClock.elapsed());

	const run = async (req: CheckoutRun, remoteHost: string) => {
		const granted = await openCheckout(req, remoteHost, true);
		if ('refused' in granted) {
			return granted;
		}

		if (!mayRun(req)) {
			end(checkouts.get(granted.loan)!, false);
			return {refused: CheckoutRefusal.NoLease};
		}

		return exchange({
			loan: granted.loan, turn: 1, needed: req.needed, request: req.request, last: true,
		}, remoteHost, true);
	};

	const sendCommand = async ({endpointId, command, timeoutMs}: {
		readonly endpointId: string;
		readonly command: Parameters<KnownEndpoint['ownPool']['sendCommand']>[0];
		readonly timeoutMs: number;
	}) => {
		try {
			const response = directory.get(endpointId)?.ownPool.sendCommand(command, timeoutMs);
			const bounded = response && await withinMs(clock, timeoutMs, response);
			return bounded?.timedOut === false ? {status: bounded.value} : {};
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			return {};
		}
	};

	/** Adds the endpoint's load to a response, with scheduling. */
	const addLoad = <T extends Record<string, unknown>>(response: T, endpoint: KnownEndpoint | undefined): T & CheckoutLoad =>
		hostWatch && endpoint ? {...response, load: endpoint.ownPool.getLoad(clock.now())} : response;

	/** A host of this version sends with another call what not every version can run. */
	const noteVersion = (kind: string, {request, needed}: Pick<CheckoutExchange, 'request' | 'needed'>, address: string) => {
		if (!kind.endsWith('-shape') && !isKnownToEveryVersion(fromRequestOnWire(request), needed?.prepared)) {
			options.earlierVersions?.note(VersionSign.Received, address);
		}
	};

	peers.handle('loan-open', async (req, from) => addLoad(await openCheckout(req, from.address), directory.get(req.endpointId)));
	for (const kind of ['loan-run', 'loan-run-shape'] as const) {
		peers.handle(kind, async (req, from) => {
			noteVersion(kind, req, from.address);
			return addLoad(await run(req, from.address), directory.get(req.endpointId));
		});
	}

	for (const kind of ['loan-exchange', 'loan-exchange-shape'] as const) {
		peers.handle(kind, async (req, from) => {
			noteVersion(kind, req, from.address);
			const endpoint = checkouts.get(req.loan)?.endpoint;
			return addLoad(await exchange(req, from.address), endpoint);
		});
	}

	peers.handle('loan-end', async ({loan: id, cut}, from) => {
		const checkout = checkouts.get(id);
		if (checkout?.remoteHost === from.address) {
			end(checkout, cut);
		}

		places.abandon(id, from.address);

		return {ended: true as const};
	});
	peers.handle('loan-ask', sendCommand);
	peers.handle('loan-sample', async ({group}) => {
		const sample = knowledge.getSamples(group).getNewest();
		return {sample: sample && {position: sample.position, ageMs: Math.max(0, elapsedClock.elapsed() - sample.askedAt)}};
	});

	/**
	 * Revokes checkouts of remote hosts that failed: each would otherwise keep one of an endpoint's few connections, with its transaction, for ever. An idle transaction
	 * is ended by its own host earlier, so the remote host of a checkout that is idle for longer has failed.
	 */
	const revokeAbandoned = () => {
		const maxIdleMs = getMaxIdleMs() + IDLE_MARGIN_MS;
		for (const checkout of checkouts.values()) {
			if (clock.now() - checkout.lastAt > (checkout.turn === 0 ? UNUSED_TIMEOUT_MS : maxIdleMs)) {
				revoke(checkout, 'its remote host is silent', true);
			}
		}
	};

	const sweep = async () => {
		while (!stopping.aborted) {
			revokeAbandoned();
			await clock.sleep(SWEEP_INTERVAL_MS, stopping);
		}
	};

	return {
		get checkouts() {
			return checkouts.size;
		},
		retire() {
			retired = true;
		},
		revokeIdle(reason) {
			retired = true;
			revokeReason = reason;
			for (const checkout of checkouts.values()) {
				revokeIfIdle(checkout);
			}
		},
		async start() {
			void sweep();
		},
		async stop() {
			stopping.abort();
		},
	};
}
