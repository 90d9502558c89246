import type {EndpointPool, QueueRefusal} from '../links/endpoint-pool.js';
import type {SessionLink} from '../links/link-session.js';
import type {Clock} from '../time/clock.js';
import type {CheckoutRequest} from './checkout-calls.js';
import type {HostWatch} from './host-watch.js';

/** The requests of remote hosts that wait in the pools of this host. */
export type WaitingPlaces = {
	/** Waits in a pool on behalf of a remote host; resolves without a connection where there is none in time, or the remote host no longer waits. */
	wait(pool: EndpointPool, request: RemoteRequest, remoteHost: string): Promise<WaitResult>;
	/** Gives up the place of the request to which the remote host gave that id, if it waits. */
	abandon(waitId: string, remoteHost: string): void;
};

/** A request of a remote host. */
export type RemoteRequest = CheckoutRequest & {
	/** Whether it is for one read, which runs as soon as there is a connection. */
	readonly isRead?: boolean;
};

/** The result of a wait. */
export type WaitResult = {
	readonly sessionLink?: SessionLink;
	/** Set where the pool refused the request before its time was over. */
	readonly refusal?: QueueRefusal;
};

/** What the places need. */
export type WaitingPlacesOptions = {
	readonly clock: Clock;
	/** Notices remote hosts that have failed; undefined where each request waits to its end. */
	readonly hostWatch?: HostWatch;
};

/**
 * Time without anything from the endpoint, while a request there waits for its answer, after which requests no longer wait in this host's pool, in milliseconds. Guards against requests that wait
 * at a pool host which alone is cut off from the endpoint: it suspects the endpoint only after 700 ms, when most of them have no time left for another pool host. It is longer than a single
 * statement usually takes, since a request that leaves loses its place in the queue.
 */
const STALLED_AFTER_MS = 250;

/** Creates places of which none is taken. */
export function createWaitingPlaces({clock, hostWatch}: WaitingPlacesOptions): WaitingPlaces {
	const abandonments = new Map<string, () => void>();

	const getKey = (waitId: string, remoteHost: string) => `${remoteHost} ${waitId}`;

	/**
	 * Waits until the remote host is found to have failed, or says that it no longer waits, or the endpoint does not respond here. Guards against places that are kept for nobody: a connection would be
	 * acquired, and possibly opened, for each of them, while requests behind them wait.
	 */
	const waitWatched = async (pool: EndpointPool, request: RemoteRequest, remoteHost: string, watch: HostWatch): Promise<WaitResult> => {
		const isStalled = () => clock.now() - (pool.health.awaitingSince ?? Number.POSITIVE_INFINITY) > STALLED_AFTER_MS;
		if (isStalled() && isFull(pool, clock.now())) {
			return {};
		}

		const key = request.waitId === undefined ? undefined : getKey(request.waitId, remoteHost);
		let isOver = false;
		const result = new Promise<WaitResult>((resolve, reject) => {
			let refusal: QueueRefusal | undefined;
			const end = (ended: WaitResult) => {
				isOver = true;
				if (key !== undefined) {
					abandonments.delete(key);
				}

				resolve(ended);
			};

			if (key !== undefined) {
				abandonments.set(key, () => {
					end({});
				});
			}

			pool.acquire({
				...toAcquireRequest(request, clock.now()),
				isWanted: () => !isOver,
				onRefused(given) {
					refusal = given;
				},
			}).then(sessionLink => {
				if (!isOver) {
					end({sessionLink, refusal});
				} else if (sessionLink) {
					// It was assigned at the moment at which the place was given up, and goes to the next request.
					pool.release(sessionLink);
				}
			}, reject);
		});
		watch.noteHeard(remoteHost);
		const watched = await watch.watch(remoteHost, result, {
			isWanted: () => !isStalled(),
			onEnded() {
				isOver = true;
			},
		});
		if (!watched && key !== undefined) {
			abandonments.delete(key);
		}

		return watched ?? {};
	};

	return {
		async wait(pool, request, remoteHost) {
			return hostWatch
				? waitWatched(pool, request, remoteHost, hostWatch)
				: {sessionLink: await pool.acquire(toAcquireRequest(request, clock.now()))};
		},
		abandon(waitId, remoteHost) {
			abandonments.get(getKey(waitId, remoteHost))?.();
		},
	};
}

/**
 * Returns whether a new request would have to wait. One that can run at once is sent also where the endpoint has not responded for a while: its answer shows that only a slow statement was in
 * flight.
 */
function isFull(pool: EndpointPool, now: number): boolean {
	const {inFlight, limit} = pool.getLoad(now);
	return inFlight >= limit;
}

function toAcquireRequest({
	priority, waitMs, startInMs, values, workspace, weight, statement, isRead, single, least: minPosition,
}: RemoteRequest, now: number) {
	return {
		priority,
		until: now + waitMs,
		values: new Map(values),
		workspace,
		weight,
		statement,
		single,
		read: isRead ? {} : undefined,
		minPosition,
		...(startInMs !== undefined && {startBy: now + startInMs}),
	};
}
