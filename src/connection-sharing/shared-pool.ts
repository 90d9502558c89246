import {createEndpointHealth, Suspicion, type EndpointHealth} from '../links/endpoint-health.js';
import type {EndpointCommand, EndpointRequest, EndpointStatus} from '../links/endpoint-link.js';
import type {EndpointPool, AcquireRequest} from '../links/endpoint-pool.js';
import type {SessionLink} from '../links/link-session.js';
import {getWeight, hashName, type NameHash} from '../membership/rendezvous.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {Clock} from '../time/clock.js';
import {createRemoteLink, type RemoteLink} from './remote-link.js';
import type {PoolHosts} from './pool-hosts.js';
import {POOL_HOST_WAIT_MS, POOL_HOST_ROUND_TRIP_MS} from './pool-host-timeouts.js';
import {CheckoutRefusal, getScheduleOnWire, type CheckoutExchange} from './checkout-calls.js';
import {createRemoteRead} from './remote-read.js';

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
};

/**
 * Maximum wait for a connection of this host's own where no pool host that was asked has one, in milliseconds: as long as one pool host may take. Guards against a statement that waits at
 * a full endpoint until its deadline while a pool host that was not asked has connections: those that are stopping or did not answer are skipped in the next round, so others are asked.
 */
const OWN_WAIT_MS = POOL_HOST_WAIT_MS;

/** An endpoint that no pool host reaches is suspected for this long, in milliseconds; then pool hosts are asked again. */
const UNREACHABLE_RETRY_DELAY_MS = 250;

/** The result of a checkout: a link, the reason for a refusal, or undefined where no pool host answered. */
type CheckoutResult = RemoteLink | CheckoutRefusal | undefined;

/**
 * Creates a pool that uses this host's own connections where it keeps some, and checks out those of pool hosts where it keeps none.
 *
 * Guards against an endpoint's few connections being split among many hosts: each would have less than one, and a host with one is blocked by a
 * transaction while those of others are idle. Where no pool host answers, the host opens its own connections as far as the endpoint allows.
 */
export function createSharedPool({entry, ownPool, poolHosts, unreachable, peers, clock, ownPeerAddress}: SharedPoolOptions): EndpointPool {
	const checkouts = new Map<SessionLink, RemoteLink>();
	const received = createEndpointHealth();
	let unreachableUntil = Number.NEGATIVE_INFINITY;
	let waiting = 0;
	let rotation = 0;

	const isPoolHost = () => poolHosts.isPoolHost(entry);

	const sharedHealth: EndpointHealth = {
		...received,
		get lastReceivedAt() {
			return received.lastReceivedAt;
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

	/**
	 * Returns the pool hosts to ask, in order: those of this host's zone, then one of another zone, in case all in the zone are cut off from the endpoint. The order rotates (round robin);
	 * for a workspace it is the workspace's own order, so that its statements reach the hosts which have connections for it.
	 */
	const getPoolHosts = (workspace: string | undefined): readonly string[] => {
		const now = clock.now();
		const near: string[] = [];
		const far: string[] = [];
		for (const {peerAddress, availabilityZone} of poolHosts.getHosts(entry)) {
			if (peerAddress !== ownPeerAddress && !unreachable.has(peerAddress, now)) {
				(availabilityZone === poolHosts.availabilityZone ? near : far).push(peerAddress);
			}
		}

		if (workspace !== undefined) {
			const hash = hashName(workspace);
			return [...rank(near, hash), ...rank(far, hash).slice(0, 1)];
		}

		rotation++;
		return [...rotate(near, rotation), ...rotate(far, rotation).slice(0, 1)];
	};

	const checkOutAt = async (poolHost: string, acquireRequest: AcquireRequest): Promise<CheckoutResult> => {
		const waitMs = Math.min(POOL_HOST_WAIT_MS, acquireRequest.until - clock.now());
		try {
			const response = await peers.call(poolHost, 'loan-open', {
				endpointId: entry.id,
				priority: acquireRequest.priority,
				waitMs,
				values: [...acquireRequest.values],
				...getScheduleOnWire(acquireRequest, clock.now()),
				workspace: acquireRequest.workspace,
				single: acquireRequest.single,
				least: acquireRequest.minPosition,
			}, waitMs + POOL_HOST_ROUND_TRIP_MS);
			unreachable.delete(poolHost);
			if ('refused' in response) {
				if (response.queue) {
					acquireRequest.onRefused?.(response.queue);
				}

				return response.refused;
			}

			return createRemoteLink({
				peers, poolHost, checkoutId: response.loan, single: acquireRequest.single, onReceived: noteReceived,
			});
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			unreachable.add(poolHost, clock.now());
			return undefined;
		}
	};

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

	const noteUnreachable = () => {
		unreachableUntil = clock.now() + UNREACHABLE_RETRY_DELAY_MS;
	};

	/** Runs a read on a connection of this host; resolves with undefined where none came free. */
	const runOnOwn = async (acquireRequest: AcquireRequest, needed: CheckoutExchange['needed'], request: EndpointRequest) => {
		const own = await ownPool.acquire({...acquireRequest, until: Math.min(acquireRequest.until, clock.now() + OWN_WAIT_MS)});
		if (!own) {
			return undefined;
		}

		try {
			own.adapt({values: new Map(needed?.values), prepared: needed?.prepared});
			return await own.link.exchange(request);
		} finally {
			ownPool.release(own);
		}
	};

	const startRemoteRead = (acquireRequest: AcquireRequest): SessionLink => {
		const sessionLink = createRemoteRead({
			endpointId: entry.id, acquireRequest, peers, unreachable, clock, getPoolHosts: () => getPoolHosts(acquireRequest.workspace), onReceived: noteReceived, onUnreachable: noteUnreachable,
			runOnOwn: async (needed, request) => runOnOwn(acquireRequest, needed, request),
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
			if (isPoolHost()) {
				return ownPool.acquire(acquireRequest);
			}

			if (acquireRequest.read) {
				return startRemoteRead(acquireRequest);
			}

			waiting++;
			try {
				return await checkOut(acquireRequest);
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
		async sendCommand(command, timeoutMs) {
			if (isPoolHost()) {
				return ownPool.sendCommand(command, timeoutMs);
			}

			const until = clock.now() + timeoutMs;
			for (const poolHost of getPoolHosts(undefined)) {
				const status = await sendCommandVia(poolHost, command, Math.min(POOL_HOST_WAIT_MS + POOL_HOST_ROUND_TRIP_MS, until - clock.now()));
				if (status) {
					noteReceived();
					return status;
				}
			}

			return ownPool.sendCommand(command, Math.max(1, until - clock.now()));
		},
		maintain() {
			ownPool.maintain();
		},
		retire() {
			ownPool.retire();
		},
	};
}

function rank(addresses: readonly string[], workspace: NameHash): readonly string[] {
	return addresses
		.map(address => ({address, weight: getWeight(workspace, hashName(address))}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(({address}) => address);
}

function rotate<T>(list: readonly T[], by: number): readonly T[] {
	const at = list.length === 0 ? 0 : by % list.length;
	return [...list.slice(at), ...list.slice(0, at)];
}
