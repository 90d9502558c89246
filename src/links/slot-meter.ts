import type {LinkListener} from './endpoint-link.js';

/** Measures for how long a connection has had requests at the endpoint: the slot time of a transaction, without the time that its caller takes. */
export type SlotMeter = {
	/** Listener of the connection; passes everything on. */
	readonly listener: LinkListener;
	/** Starts a new measurement, of a request that has sent nothing yet. */
	reset(): void;
	/** Whether nothing was sent since the last reset. */
	readonly isUnused: boolean;
	/** Time with requests at the endpoint since the last reset, in milliseconds. */
	getBusyMs(now: number): number;
};

/** Creates a meter; `getPending` returns the number of requests of the connection that have no answer yet. */
export function createSlotMeter(listener: LinkListener, getNow: () => number, getPending: () => number): SlotMeter {
	let busyMs = 0;
	let busySince: number | undefined;
	let isUnused = true;

	return {
		listener: {
			onSent() {
				busySince ??= getNow();
				isUnused = false;
				listener.onSent();
			},
			onReceived() {
				if (busySince !== undefined && getPending() === 0) {
					busyMs += getNow() - busySince;
					busySince = undefined;
				}

				listener.onReceived();
			},
			onAnswered(isRejected) {
				listener.onAnswered(isRejected);
			},
		},
		reset() {
			busyMs = 0;
			busySince = undefined;
			isUnused = true;
		},
		get isUnused() {
			return isUnused;
		},
		getBusyMs: now => busyMs + (busySince === undefined ? 0 : now - busySince),
	};
}
