import type {EndpointLink, LinkListener, LinkOpener} from '../../links/endpoint-link.js';
import {createLinkRefused} from '../../links/link-errors.js';
import {createServiceSlots} from '../../stand-ins/database/service-slots.js';
import {SessionState} from '../../statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../../statements/statement-answer.js';
import type {Clock} from '../../time/clock.js';

/** A simulated endpoint whose slots serve both statements and openings of connections. */
export type BusyEndpoint = {
	readonly opener: LinkOpener;
	/** Number of connections that were opened. */
	readonly opened: number;
	/** Number of openings refused because of the connection cap. */
	readonly overCap: number;
	/** Number of statements and openings rejected because the queue was full. */
	readonly rejected: number;
};

/** Settings of the endpoint; times in milliseconds. */
export type BusyEndpointOptions = {
	readonly clock: Clock;
	readonly slots: number;
	/** Maximum number of statements and openings that wait for a slot. */
	readonly queue: number;
	readonly maxConnections: number;
	readonly openMs: number;
	/** One-way latency between a host and the endpoint. */
	readonly oneWayMs: number;
};

/** Creates an idle endpoint; the text of a statement is its execution time in milliseconds. */
export function createBusyEndpoint({clock, slots: slotCount, queue, maxConnections, openMs, oneWayMs}: BusyEndpointOptions): BusyEndpoint {
	const slots = createServiceSlots(slotCount);
	let connections = 0;
	let opened = 0;
	let overCap = 0;
	let rejected = 0;

	/** Waits for a slot, holds it for `ms` and resolves with true; resolves with false where the queue is full. */
	const occupySlot = async (ms: number) => {
		if (slots.waiting >= queue) {
			rejected++;
			return false;
		}

		await slots.acquire();
		await clock.sleep(ms);
		slots.release();
		return true;
	};

	const createLink = (listener: LinkListener): EndpointLink => {
		const closeListeners: Array<() => void> = [];
		let pending = 0;
		let closed = false;
		const close = () => {
			if (closed) {
				return;
			}

			closed = true;
			for (const listener of closeListeners) {
				listener();
			}

			void clock.sleep(oneWayMs).then(() => {
				connections--;
			});
		};

		return {
			get pending() {
				return pending;
			},
			get closed() {
				return closed;
			},
			async exchange({command}): Promise<EndpointAnswer> {
				pending++;
				listener.onSent();
				await clock.sleep(oneWayMs);
				const hasRun = await occupySlot(command.kind === 'run' ? Number(command.text) : 1);
				await clock.sleep(oneWayMs);
				pending--;
				listener.onAnswered(!hasRun);
				listener.onReceived();
				return {rows: [], end: hasRun ? {kind: 'complete'} : {kind: 'error', code: AnswerCode.Overloaded, text: ''}, state: SessionState.Idle};
			},
			async readStatus() {
				throw new Error('this endpoint does not implement readStatus');
			},
			cut: close,
			close,
			onClose(listener) {
				closeListeners.push(listener);
			},
		};
	};

	return {
		opener: {
			async open({address}, _timeoutMs, listener) {
				await clock.sleep(oneWayMs);
				if (connections >= maxConnections) {
					overCap++;
					throw createLinkRefused(address, AnswerCode.TooManyConnections);
				}

				connections++;
				opened++;
				if (!await occupySlot(openMs)) {
					connections--;
					throw createLinkRefused(address, AnswerCode.Overloaded);
				}

				await clock.sleep(oneWayMs);
				listener.onReceived();
				return createLink(listener);
			},
		},
		get opened() {
			return opened;
		},
		get overCap() {
			return overCap;
		},
		get rejected() {
			return rejected;
		},
	};
}
