import type {EndpointPool, EndpointPoolOptions} from './endpoint-pool.js';
import {createPoolConnections} from './pool-connections.js';
import type {RequestQueue} from './request-queue.js';
import {ArrivalOrder} from './waiter-order.js';

/** Time for which a predicted wait is used again, in milliseconds: the load goes with each response, and a prediction looks at the whole queue. */
const LOAD_CACHE_MS = 10;

/** Creates a pool without connections. */
export function createEndpointPool(options: EndpointPoolOptions): EndpointPool {
	const {target, clock, log} = options;
	const connections = createPoolConnections({
		...options,
		onOpened(sessionLink, openMs) {
			queue.noteOpened(sessionLink, openMs);
		},
		onClosed() {
			queue.noteClosed();
		},
		onRefused() {
			queue.failAll();
		},
		onAnswered() {
			queue.noteAnswered();
		},
	});
	const queue: RequestQueue = (options.order ?? new ArrivalOrder()).createQueue({
		target, clock, log, connections,
	});
	const {all, idle, health} = connections;
	/** The last predicted wait, and the steady time of its prediction. */
	let waitMs = 0;
	let predictedAt = Number.NEGATIVE_INFINITY;

	return {
		target,
		health,
		get inUse() {
			return all.size - idle.size;
		},
		get waiting() {
			return queue.size;
		},
		get open() {
			return all.size;
		},
		getLoad(now) {
			if (queue.size === 0 || now - predictedAt >= LOAD_CACHE_MS) {
				predictedAt = queue.size === 0 ? Number.NEGATIVE_INFINITY : now;
				waitMs = queue.predictWaitMs(now);
			}

			return {
				limit: connections.limit, inFlight: connections.inFlight, queued: queue.size, serviceMs: queue.serviceMs, waitMs,
			};
		},
		async acquire(request) {
			if (connections.retired) {
				return undefined;
			}

			connections.policy.events?.noteRequested(request.workspace, clock.now());
			return queue.acquire(request);
		},
		release(sessionLink) {
			const {closed} = sessionLink.link;
			connections.noteReleased(sessionLink);
			if (connections.retired && !closed) {
				sessionLink.link.close();
				return;
			}

			queue.noteReleased(sessionLink);
			if (!closed) {
				connections.trim();
			}
		},
		async sendCommand(command, timeoutMs) {
			const open = idle.newest ?? [...all].find(({link}) => !link.closed);
			if (open) {
				return open.link.readStatus({command});
			}

			const sessionLink = await connections.openLink(timeoutMs, undefined);
			const status = await sessionLink.link.readStatus({command});
			queue.keep(sessionLink);
			return status;
		},
		maintain() {
			connections.policy.events?.maintain(clock.now());
			connections.trim();
			connections.retrySuspect();
		},
		retire() {
			connections.retire();
			queue.failAll();
		},
	};
}
