import type {EndpointLink, LinkListener, LinkOpener} from '../../links/endpoint-link.js';
import {createLinkRefused} from '../../links/link-errors.js';
import {createServiceSlots} from '../../stand-ins/database/service-slots.js';
import {SessionState} from '../../statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../../statements/statement-answer.js';
import type {Clock} from '../../time/clock.js';

/** An endpoint whose slots are taken by statements and by openings of connections alike. */
export type BusyEndpoint = {
	readonly opener: LinkOpener;
	/** Connections that were opened. */
	readonly opened: number;
	/** Openings that met the cap. */
	readonly overCap: number;
	/** Statements that were turned away since the queue was full. */
	readonly turnedAway: number;
};

/** What the endpoint is made of; times in milliseconds. */
export type BusyEndpointOptions = {
	readonly clock: Clock;
	readonly slots: number;
	/** Statements and openings that may wait for a slot. */
	readonly queue: number;
	readonly maxConnections: number;
	readonly openMs: number;
	/** Way there. */
	readonly wayMs: number;
};

/** Creates an idle endpoint; the time of a statement is its text. */
export function createBusyEndpoint({clock, slots: slotCount, queue, maxConnections, openMs, wayMs}: BusyEndpointOptions): BusyEndpoint {
	const slots = createServiceSlots(slotCount);
	let connections = 0;
	let opened = 0;
	let overCap = 0;
	let turnedAway = 0;

	/** Takes a slot for so long; false where the queue is full. */
	const occupy = async (ms: number) => {
		if (slots.waiting >= queue) {
			turnedAway++;
			return false;
		}

		await slots.take();
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

			void clock.sleep(wayMs).then(() => {
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
				await clock.sleep(wayMs);
				const isRun = await occupy(command.kind === 'run' ? Number(command.text) : 1);
				await clock.sleep(wayMs);
				pending--;
				listener.onAnswered(!isRun);
				return {rows: [], end: isRun ? {kind: 'complete'} : {kind: 'error', code: AnswerCode.Overloaded, text: ''}, state: SessionState.Idle};
			},
			async readStatus() {
				throw new Error('no status here');
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
				await clock.sleep(wayMs);
				if (connections >= maxConnections) {
					overCap++;
					throw createLinkRefused(address, AnswerCode.TooManyConnections);
				}

				connections++;
				opened++;
				if (!await occupy(openMs)) {
					connections--;
					throw createLinkRefused(address, AnswerCode.Overloaded);
				}

				await clock.sleep(wayMs);
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
		get turnedAway() {
			return turnedAway;
		},
	};
}
