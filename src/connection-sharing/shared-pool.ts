import {createEndpointHealth, Suspicion, type EndpointHealth} from '../links/endpoint-health.js';
import type {EndpointCommand, EndpointStatus} from '../links/endpoint-link.js';
import type {EndpointPool, AcquireRequest} from '../links/endpoint-pool.js';
import {throwUnexpectedAnswer} from '../links/link-errors.js';
import type {NeededSession, SessionLink, SessionRequest} from '../links/link-session.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {Random} from '../random/random.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {RecordedLoadReports} from '../endpoint-load/load-reports.js';
import {CheckoutRefusal, type CheckoutLoad} from './checkout-calls.js';
import {createCheckoutOpener, type CheckoutResult} from './checkout-opener.js';
import type {EarlierVersions} from './earlier-versions.js';
import type {HostWatch} from './host-watch.js';
import {LeastLoadOrder} from './least-load-order.js';
import {NearFirstOrder} from './near-first-order.js';
import type {PoolHostOrder} from './pool-host-order.js';
import type {PoolHosts} from './pool-hosts.js';
import {POOL_HOST_WAIT_MS, POOL_HOST_ROUND_TRIP_MS} from './pool-host-timeouts.js';
import type {PoolHostWait} from './pool-host-wait.js';
import type {RemoteLink} from './remote-link.js';
import {createRemoteRead} from './remote-read.js';
import {createSinglePlaceAcquire, OWN_WAIT_MS} from './single-place-acquire.js';
import {SinglePlaceWait} from './single-place-wait.js';
import {TurnWait} from './turn-wait.js';
import type {WaitIds} from './wait-ids.js';

/** What a shared pool needs. */
export type SharedPoolOptions = {
	readonly entry: RegisteredEndpoint;
	/** This host's own connections to the endpoint. */
	readonly ownPool: EndpointPool;
	readonly poolHosts: PoolHosts;
	/** Pool hosts that did not answer recently, over all endpoints. */
	readonly unreachable: UnreachableHosts;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly ownPeerAddress: string;
	readonly earlierVersions?: EarlierVersions;
	/** Set with scheduling: requests wait in one place, chosen by workspace or by load. */
	readonly scheduling?: SharedPoolScheduling;
};

/** What shared pools need with scheduling, the same for all endpoints. */
export type SharedPoolScheduling = {
	readonly loads: RecordedLoadReports;
	readonly hostWatch: HostWatch;
	readonly waitIds: WaitIds;
	readonly random: Random;
};

/** Time after which a command that no pool host has answered is sent on a connection of this host's own as well, in milliseconds: some round trips between regions. */
const COMMAND_HEDGE_DELAY_MS = 100;

/** An endpoint that no pool host reaches is suspected for this long, in milliseconds; then pool hosts are asked again. */
const UNREACHABLE_RETRY_DELAY_MS = 250;

/**
 * Creates a pool that uses this host's own connections where it keeps some, and checks out those of pool hosts where it keeps none.
 *
 * Guards against an endpoint's few connections being split among many hosts: each would have less than one, and a host with one is blocked by a
 * transaction while those of others are idle. Where no pool host answers, the host opens its own connections as far as the endpoint allows.
 */
export function createSharedPool({entry, ownPool, poolHosts, unreachable, peers, clock, ownPeerAddress, earlierVersions, scheduling}: SharedPoolOptions): EndpointPool {
	const checkouts = new Map<SessionLink, RemoteLink>();
	const received = createEndpointHealth();
	const createdAt = clock.now();
	let unreachableUntil = Number.NEGATIVE_INFINITY;
	let waiting = 0;
	const order: PoolHostOrder = scheduling
		? new LeastLoadOrder({
			endpointId: entry.id, ownPeerAddress, unreachable, hostWatch: scheduling.hostWatch, loads: scheduling.loads, random: scheduling.random, getOwnLoad: ownPool.getLoad,
		})
		: new NearFirstOrder({ownPeerAddress, ownZone: poolHosts.availabilityZone, unreachable});
	const wait: PoolHostWait = scheduling ? new SinglePlaceWait(scheduling.hostWatch) : new TurnWait({peers, clock});

	const isPoolHost = () => poolHosts.isPoolHost(entry);

	const sharedHealth: EndpointHealth = {
		...received,
		get lastReceivedAt() {
			// A host that watches the primary without connections to it sends a heartbeat through the pool hosts also where it has had no other traffic.
			return received.lastReceivedAt ?? (scheduling && createdAt);
		},
		get awaitingSince() {
			return undefined;
		},
		getSuspicion: now => now < unreachableUntil ? Suspicion.Refused : undefined,
	};

	const noteReceived = () => {
		unreachableUntil = Number.NEGATIVE_INFINITY;
		received.noteReceived(clock.now());
	};

	const noteUnreachable = () => {
		unreachableUntil = clock.now() + UNREACHABLE_RETRY_DELAY_MS;
	};

	const getPoolHosts = (workspace: string | undefined) => order.getAddresses(poolHosts.getHosts(entry), workspace, clock.now());

	const getRemotePoolHosts = (workspace: string | undefined) => {
		const all = getPoolHosts(workspace);
		return all.includes(ownPeerAddress) ? all.filter(address => address !== ownPeerAddress) : all;
	};

	const noteResponse = (poolHost: string, {load}: CheckoutLoad) => {
		if (load) {
			scheduling?.loads.note(entry.id, {poolHost, load, receivedAt: clock.now()});
		}
	};

	const checkOutAt = createCheckoutOpener({
		endpointId: entry.id, peers, unreachable, clock, wait, waitIds: scheduling?.waitIds, onReceived: noteReceived, onResponse: noteResponse, earlierVersions,
	});

	/**
	 * Sends a command to the endpoint through a pool host; resolves with undefined where no status came.
	 *
	 * Guards against a replica that is left out of the choice of a successor because the one pool host that was asked has failed: writes that only this replica holds would be lost.
	 */
	const sendCommandVia = async (poolHost: string, command: EndpointCommand, timeoutMs: number): Promise<EndpointStatus | undefined> => {
		try {
			// The pool host answers before this host stops waiting, also for a silent endpoint: otherwise the pool host itself would be taken for failed.
			const endpointMs = Math.min(POOL_HOST_WAIT_MS, timeoutMs / 2);
			const {status} = await peers.call(poolHost, 'loan-ask', {endpointId: entry.id, command, timeoutMs: endpointMs}, timeoutMs);
			return status;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			unreachable.add(poolHost, clock.now());
			return undefined;
		}
	};

	const sendCommandViaAny = async (command: EndpointCommand, until: number): Promise<EndpointStatus | undefined> => {
		for (const poolHost of getPoolHosts(undefined)) {
			const status = await sendCommandVia(poolHost, command, Math.min(POOL_HOST_WAIT_MS + POOL_HOST_ROUND_TRIP_MS, until - clock.now()));
			if (status) {
				noteReceived();
				return status;
			}
		}

		return undefined;
	};

	/**
	 * Sends a command through the pool hosts and, where none has responded soon, on a connection of this host's own as well. Guards against a primary that is taken for lost because its
	 * pool hosts, which are few and in one zone, are frozen or without power.
	 */
	const sendCommandHedged = async (command: EndpointCommand, until: number): Promise<EndpointStatus> => {
		const viaPoolHosts = sendCommandViaAny(command, until);
		const first = await withinMs(clock, Math.min(COMMAND_HEDGE_DELAY_MS, until - clock.now()), viaPoolHosts);
		if (!first.timedOut && first.value) {
			return first.value;
		}

		const own = ownPool.sendCommand(command, Math.max(1, until - clock.now())).then(status => {
			noteReceived();
			return status;
		});
		const either = Promise.any([own, viaPoolHosts.then(status => status ?? throwUnexpectedAnswer(entry.id, command.kind))]);
		try {
			const {timedOut} = await withinMs(clock, until - clock.now(), either);
			if (timedOut) {
				noteUnreachable();
			}

			return await either;
		} catch {
			noteUnreachable();
			return own;
		}
	};

	/**
	 * Asks each pool host once, up to the first that grants a checkout. Where none does, resolves with `Busy` if one of them was busy, else with the first reason of those that refused, or
	 * with undefined where none gave one; a stopping pool host counts as one that did not answer.
	 */
	const checkOutAtAny = async (acquireRequest: AcquireRequest): Promise<CheckoutResult> => {
		let refusal: CheckoutRefusal | undefined;
		for (const poolHost of getPoolHosts(acquireRequest.workspace)) {
			if (clock.now() >= acquireRequest.until) {
				break;
			}

			const result = await checkOutAt(poolHost, acquireRequest);
			if (typeof result === 'object') {
				return result;
			}

			if (result === CheckoutRefusal.Stopping) {
				unreachable.add(poolHost, clock.now());
				continue;
			}

			if (result === CheckoutRefusal.Hopeless) {
				return result;
			}

			refusal = result === CheckoutRefusal.Busy ? result : refusal ?? result;
		}

		return refusal;
	};

	/** Runs a read on a connection of this host; resolves with undefined where none came free. */
	const runOnOwn = async (acquireRequest: AcquireRequest, request: SessionRequest, needed: NeededSession | undefined) => {
		const own = await ownPool.acquire({...acquireRequest, until: Math.min(acquireRequest.until, clock.now() + OWN_WAIT_MS)});
		if (!own) {
			return undefined;
		}

		try {
			return await own.exchange(request, needed);
		} finally {
			ownPool.release(own);
		}
	};

	const startRemoteRead = (acquireRequest: AcquireRequest): SessionLink => {
		const sessionLink = createRemoteRead({
			endpointId: entry.id, acquireRequest, peers, unreachable, clock, getPoolHosts: () => getRemotePoolHosts(acquireRequest.workspace), onReceived: noteReceived, onUnreachable: noteUnreachable,
			wait, waitIds: scheduling?.waitIds, onResponse: noteResponse, earlierVersions,
			runOnOwn: async (request, needed) => runOnOwn(acquireRequest, request, needed),
		});
		checkouts.set(sessionLink, {...sessionLink, release() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
		return sessionLink;
	};

	const checkOut = async (acquireRequest: AcquireRequest): Promise<SessionLink | undefined> => {
		while (clock.now() < acquireRequest.until) {
			const result = await checkOutAtAny(acquireRequest);
			if (typeof result === 'object') {
				checkouts.set(result, result);
				return result;
			}

			if (result === undefined) {
				const until = Math.min(acquireRequest.until, clock.now() + OWN_WAIT_MS);
				const own = await ownPool.acquire({...acquireRequest, until});
				// The own pool gives up before the deadline where it suspects the endpoint.
				if (own !== undefined || clock.now() < until) {
					return own;
				}

				continue;
			}

			if (result === CheckoutRefusal.Hopeless) {
				return undefined;
			}

			if (result === CheckoutRefusal.Unreachable) {
				noteUnreachable();
				return undefined;
			}
		}

		return undefined;
	};

	const singlePlace = createSinglePlaceAcquire({
		ownPool, clock, unreachable, ownPeerAddress, getPoolHosts, checkOutAt, onUnreachable: noteUnreachable, onCheckedOut(checkout) {
			checkouts.set(checkout, checkout);
		},
	});

	/** Starts a read at the first of the pool hosts. Where that is this host itself, the read waits here, and goes to another one only where this host does not reach the endpoint. */
	const acquireForRead = async (acquireRequest: AcquireRequest): Promise<SessionLink | undefined> => {
		if (getPoolHosts(acquireRequest.workspace)[0] !== ownPeerAddress) {
			return startRemoteRead(acquireRequest);
		}

		const own = await singlePlace.acquireOwn(acquireRequest);
		return own === CheckoutRefusal.Unreachable ? startRemoteRead(acquireRequest) : (typeof own === 'object' ? own : undefined);
	};

	return {
		target: ownPool.target,
		get health() {
			return isPoolHost() ? ownPool.health : sharedHealth;
		},
		get inUse() {
			return ownPool.inUse + checkouts.size;
		},
		get waiting() {
			return ownPool.waiting + waiting;
		},
		get open() {
			return ownPool.open;
		},
		getLoad: now => ownPool.getLoad(now),
		async acquire(acquireRequest) {
			const isInOnePlace = scheduling !== undefined && poolHosts.isShared(entry);
			if (isPoolHost() && !isInOnePlace) {
				return ownPool.acquire(acquireRequest);
			}

			if (acquireRequest.read) {
				return isInOnePlace ? acquireForRead(acquireRequest) : startRemoteRead(acquireRequest);
			}

			waiting++;
			try {
				return await (isInOnePlace ? singlePlace.acquire(acquireRequest) : checkOut(acquireRequest));
			} finally {
				waiting--;
			}
		},
		release(sessionLink) {
			const checkout = checkouts.get(sessionLink);
			if (!checkout) {
				ownPool.release(sessionLink);
				return;
			}

			checkouts.delete(sessionLink);
			checkout.release();
		},
		async greet(timeoutMs) {
			await ownPool.greet(timeoutMs);
			noteReceived();
		},
		async sendCommand(command, timeoutMs) {
			if (isPoolHost()) {
				return ownPool.sendCommand(command, timeoutMs);
			}

			const until = clock.now() + timeoutMs;
			if (scheduling) {
				return sendCommandHedged(command, until);
			}

			return await sendCommandViaAny(command, until) ?? ownPool.sendCommand(command, Math.max(1, until - clock.now()));
		},
		maintain() {
			ownPool.maintain();
		},
		retire() {
			ownPool.retire();
		},
	};
}
