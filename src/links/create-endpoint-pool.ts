import type {EndpointPool, EndpointPoolOptions} from './endpoint-pool.js';
import type {SessionLink} from './link-session.js';
import {createPoolConnections} from './pool-connections.js';
import type {RequestQueue} from './request-queue.js';
import {ArrivalOrder} from './waiter-order.js';

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
	/** The connection that was last opened for a command. */
	let commandLink: SessionLink | undefined;

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
		getLoad: now => ({
			limit: connections.limit, inFlight: connections.inFlight, queued: queue.size, serviceMs: queue.serviceMs, waitMs: queue.predictWaitMs(now),
		}),
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
			const mayStall = options.waitsForReplicas?.() ?? false;
			// A commit that waits for replicas delays all later answers on its connection.
			const open = idle.newest ?? [...all].find(({link}) => !link.closed && !(mayStall && link.pending > 0)) ?? (commandLink?.link.closed === false ? commandLink : undefined);
			if (open) {
				return open.link.readStatus({command});
			}

			const sessionLink = await connections.openLink(timeoutMs, undefined);
			commandLink = sessionLink;
			const status = await sessionLink.link.readStatus({command});
			queue.keep(sessionLink);
			return status;
		},
		async greet(timeoutMs) {
			const {link} = await connections.openLink(timeoutMs, undefined);
			link.close();
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
