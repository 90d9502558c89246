import type {AcquireRequest, EndpointPool} from '../links/endpoint-pool.js';
import type {SessionLink} from '../links/link-session.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import type {Clock} from '../time/clock.js';
import {CheckoutRefusal} from './checkout-calls.js';
import {allowForLostTime, type CheckoutOpener} from './checkout-opener.js';
import {POOL_HOST_WAIT_MS} from './pool-host-timeouts.js';
import type {RemoteLink} from './remote-link.js';

/** Acquires connections to an endpoint at one pool host, where each request waits for as long as its own time allows. */
export type SinglePlaceAcquire = {
	/** Acquires a connection at the first pool host that responds, this host included; resolves with undefined where there is none in time. */
	acquire(request: AcquireRequest): Promise<SessionLink | undefined>;
	/** Acquires a connection of this host's own; where there is none, resolves with `Busy` once the request's time is over, and another reason where this host cannot serve it. */
	acquireOwn(request: AcquireRequest): Promise<SessionLink | CheckoutRefusal>;
};

/** What it needs. */
export type SinglePlaceAcquireOptions = {
	readonly ownPool: EndpointPool;
	readonly clock: Clock;
	readonly unreachable: UnreachableHosts;
	readonly ownPeerAddress: string;
	/** Returns the `ip:port` of the pool hosts to ask, in order. */
	getPoolHosts(workspace: string | undefined): readonly string[];
	readonly checkOutAt: CheckoutOpener;
	onCheckedOut(checkout: RemoteLink): void;
	/** Called where no pool host that answered reaches the endpoint. */
	onUnreachable(): void;
};

/**
 * Maximum wait for a connection of this host's own where no pool host that was asked has one, in milliseconds: as long as one pool host may take. Guards against a statement that waits at
 * a full endpoint until its deadline while a pool host that was not asked has connections: those that are stopping or did not answer are skipped in the next round, so others are asked.
 */
export const OWN_WAIT_MS = POOL_HOST_WAIT_MS;

/** Pause before pool hosts are asked again that all refused before the request's time was over, in milliseconds: the endpoint responds to none of them for the moment. */
export const REFUSED_RETRY_DELAY_MS = 100;

/** Creates it for one endpoint. */
export function createSinglePlaceAcquire(options: SinglePlaceAcquireOptions): SinglePlaceAcquire {
	const {
		ownPool, clock, unreachable, ownPeerAddress, getPoolHosts, checkOutAt, onCheckedOut, onUnreachable,
	} = options;

	const acquireOwn = async (acquireRequest: AcquireRequest): Promise<SessionLink | CheckoutRefusal> => {
		let isRefused = false;
		const own = await ownPool.acquire({
			...acquireRequest, onRefused(refusal) {
				isRefused = true;
				acquireRequest.onRefused?.(refusal);
			},
		});
		if (own) {
			return own;
		}

		if (isRefused) {
			return CheckoutRefusal.Hopeless;
		}

		return clock.now() < acquireRequest.until ? CheckoutRefusal.Unreachable : CheckoutRefusal.Busy;
	};

	/**
	 * Asks the pool hosts in order up to the first that grants a checkout or knows that there will be no connection in time. Where none does, returns `Busy` if one was busy, else the first reason of those that refused, or undefined where none gave one.
	 */
	const acquireAtFirst = async (acquireRequest: AcquireRequest): Promise<SessionLink | CheckoutRefusal | undefined> => {
		let refusal: CheckoutRefusal | undefined;
		let lostMs = 0;
		for (const poolHost of getPoolHosts(acquireRequest.workspace)) {
			if (clock.now() >= acquireRequest.until || acquireRequest.isWanted?.() === false) {
				break;
			}

			if (poolHost === ownPeerAddress) {
				const own = await acquireOwn(allowForLostTime(acquireRequest, lostMs));
				if (typeof own === 'object' || own === CheckoutRefusal.Hopeless) {
					return own;
				}

				refusal ??= own;
				continue;
			}

			const askedAt = clock.now();
			const result = await checkOutAt(poolHost, allowForLostTime(acquireRequest, lostMs));
			if (typeof result === 'object') {
				onCheckedOut(result);
				return result;
			}

			if (result === CheckoutRefusal.Hopeless) {
				return result;
			}

			if (result === CheckoutRefusal.Stopping) {
				unreachable.add(poolHost, clock.now());
				continue;
			}

			lostMs += clock.now() - askedAt;
			refusal = result === CheckoutRefusal.Busy ? result : refusal ?? result;
		}

		return refusal;
	};

	/** Acquires a connection at one pool host; where none answers, opens one of this host's own as far as the endpoint allows. */
	const acquire = async (acquireRequest: AcquireRequest): Promise<SessionLink | undefined> => {
		while (clock.now() < acquireRequest.until && acquireRequest.isWanted?.() !== false) {
			const result = await acquireAtFirst(acquireRequest);
			if (typeof result === 'object') {
				return result;
			}

			if (result === CheckoutRefusal.Unreachable) {
				onUnreachable();
			}

			if (result === CheckoutRefusal.Unreachable || result === CheckoutRefusal.Hopeless) {
				return undefined;
			}

			if (result === undefined) {
				const until = Math.min(acquireRequest.until, clock.now() + OWN_WAIT_MS);
				const own = await ownPool.acquire({...acquireRequest, until});
				// The own pool gives up before the deadline where it suspects the endpoint.
				if (own === undefined && clock.now() < until) {
					onUnreachable();
				}

				if (own !== undefined || clock.now() < until) {
					return own;
				}
			} else {
				await clock.sleep(Math.min(REFUSED_RETRY_DELAY_MS, acquireRequest.until - clock.now()));
			}
		}

		return undefined;
	};

	return {acquire, acquireOwn};
}
