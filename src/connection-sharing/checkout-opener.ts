import {Buffer} from 'node:buffer';
import type {AcquireRequest} from '../links/endpoint-pool.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import {
	getScheduleOnWire, type CheckoutRefusal, type CheckoutLoad, type CheckoutRequest, type CheckoutResponse,
} from './checkout-calls.js';
import {POOL_HOST_ROUND_TRIP_MS} from './pool-host-timeouts.js';
import type {EarlierVersions} from './earlier-versions.js';
import type {PoolHostWait} from './pool-host-wait.js';
import {createRemoteLink, type RemoteLink} from './remote-link.js';
import type {WaitIds} from './wait-ids.js';

/** Opens checkouts of connections to one endpoint at its pool hosts. */
export type CheckoutOpener = (poolHost: string, acquireRequest: AcquireRequest) => Promise<CheckoutResult>;

/** The result of a checkout: a link, the reason for a refusal, or undefined where the pool host did not answer, or nobody waits any more. */
export type CheckoutResult = RemoteLink | CheckoutRefusal | undefined;

/** What an opener needs. */
export type CheckoutOpenerOptions = {
	readonly endpointId: string;
	readonly peers: Peers;
	readonly unreachable: UnreachableHosts;
	readonly clock: Clock;
	readonly wait: PoolHostWait;
	/** Names the requests, so that they can be ended while they wait; undefined where each waits to its end. */
	readonly waitIds?: WaitIds;
	readonly earlierVersions?: EarlierVersions;
	/** Called after each answer of the endpoint. */
	onReceived(): void;
	/** Called with each response of a pool host. */
	onResponse(poolHost: string, response: CheckoutLoad): void;
};

/** Creates an opener. */
export function createCheckoutOpener(options: CheckoutOpenerOptions): CheckoutOpener {
	const {endpointId, peers, unreachable, clock, wait, waitIds, onReceived, onResponse} = options;

	/** Returns a connection that was granted after this host had stopped waiting for it. */
	const returnLate = (poolHost: string, call: Promise<CheckoutResponse>) => {
		call.then(response => {
			if ('loan' in response) {
				waitIds?.end(poolHost, response.loan);
			}
		}, () => undefined);
	};

	const toResult = (poolHost: string, response: CheckoutResponse, {single, onRefused}: AcquireRequest): CheckoutResult => {
		onResponse(poolHost, response);
		if ('refused' in response) {
			if (response.queue) {
				onRefused?.(response.queue);
			}

			return response.refused;
		}

		return createRemoteLink({
			peers, poolHost, checkoutId: response.loan, single, onReceived, earlierVersions: options.earlierVersions, onLoad(load) {
				onResponse(poolHost, load);
			},
		});
	};

	return async (poolHost, acquireRequest) => {
		const isWanted = () => acquireRequest.isWanted?.() !== false;
		const waitMs = wait.getWaitMs(acquireRequest.until, clock.now());
		const request = createCheckoutRequest(endpointId, acquireRequest, waitMs, clock.now(), waitIds?.next());
		try {
			const call = peers.call(poolHost, 'loan-open', request, waitMs + POOL_HOST_ROUND_TRIP_MS);
			const response = await wait.whenOpened(poolHost, call, isWanted);
			if (response) {
				unreachable.delete(poolHost);
				return toResult(poolHost, response, acquireRequest);
			}

			if (request.waitId !== undefined) {
				waitIds?.end(poolHost, request.waitId);
			}

			returnLate(poolHost, call);
			if (isWanted()) {
				unreachable.add(poolHost, clock.now());
			}

			return undefined;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			unreachable.add(poolHost, clock.now());
			return undefined;
		}
	};
}

/**
 * Returns the request with its latest start `lostMs` milliseconds later, for the time that it waited at pool hosts which failed or do not reach the endpoint.
 *
 * Guards against requests that lose their place with a pool host and are then late for their target: the queue of the next one would serve them after all others, and a busy queue never.
 */
export function allowForLostTime(request: AcquireRequest, lostMs: number): AcquireRequest {
	return request.startBy === undefined || lostMs === 0 ? request : {...request, startBy: request.startBy + lostMs};
}

/** Maximum size of the session values in a checkout request, in bytes: larger ones are sent only with the requests that need them. */
const MAX_PREFERRED_BYTES = 16_384;

function getPreferredValues({values}: AcquireRequest): CheckoutRequest['values'] {
	let bytes = 0;
	for (const [name, value] of values) {
		bytes += Buffer.byteLength(name) + Buffer.byteLength(value);
	}

	return bytes > MAX_PREFERRED_BYTES ? [] : [...values];
}

/** Creates the checkout request for a request to acquire a connection, which waits for `waitMs` milliseconds from the steady time `now`. */
export function createCheckoutRequest(endpointId: string, request: AcquireRequest, waitMs: number, now: number, waitId: string | undefined): CheckoutRequest {
	return {
		endpointId,
		priority: request.priority,
		waitMs,
		values: getPreferredValues(request),
		workspace: request.workspace,
		...getScheduleOnWire(request, now),
		...(waitId !== undefined && {waitId}),
		single: request.single,
		least: request.minPosition,
	};
}
