import type {AcquireRequest} from '../links/endpoint-pool.js';
import {createServiceTime} from './service-time.js';

/** Measured times of the work at one endpoint, by prepared statement and kind of request. */
export type RequestTimes = {
	/** Smoothed time for which a request holds a place, in milliseconds. */
	readonly meanMs: number;
	/** Smoothed time for which opening a connection holds a place, in milliseconds. */
	readonly openingMs: number;
	/** Slot time for opening connections that each request costs on average, in milliseconds. */
	readonly openingMsPerRequest: number;
	/** Returns the expected time for which a request holds a place, in milliseconds: that of its prepared statement, else of its kind. */
	getExpectedMs(request: AcquireRequest): number;
	/** Records the time for which a request held a place; where the endpoint did not answer, it is only a lower bound. */
	observe(request: AcquireRequest, usedMs: number, served: boolean): void;
	noteStarted(): void;
	noteOpened(openMs: number): void;
};

/** Expected time of a request until one was measured, in milliseconds. */
const INITIAL_SERVICE_MS = 15;

/** Expected time for opening a connection until one was measured, in milliseconds. */
const INITIAL_OPENING_MS = 12;

/** Maximum of one sample in multiples of the expected time: after a suspension of the process, the measured time says nothing about the endpoint. */
const MAX_SAMPLE_FACTOR = 20;

/** Weight of the newest request in the share of requests that a connection was opened for. */
const OPENING_SHARE_WEIGHT = 0.02;

/** Creates times that were not measured yet. */
export function createRequestTimes(): RequestTimes {
	const service = createServiceTime<string>(INITIAL_SERVICE_MS);
	const statements = createServiceTime<string>(INITIAL_SERVICE_MS);
	const opening = createServiceTime<'open'>(INITIAL_OPENING_MS);
	let openedPerStart = 0;

	const getExpectedMs = (request: AcquireRequest) => request.statement !== undefined && statements.has(request.statement)
		? statements.getClassMeanMs(request.statement)
		: service.getClassMeanMs(getKind(request));

	return {
		get meanMs() {
			return service.getMeanMs();
		},
		get openingMs() {
			return opening.getMeanMs();
		},
		get openingMsPerRequest() {
			return openedPerStart * opening.getMeanMs();
		},
		getExpectedMs,
		observe(request, usedMs, served) {
			const expectedMs = getExpectedMs(request);
			const sampleMs = Math.min(usedMs, MAX_SAMPLE_FACTOR * expectedMs);
			service.observe(getKind(request), sampleMs, served);
			if (request.statement !== undefined) {
				statements.observe(request.statement, sampleMs, served);
			}
		},
		noteStarted() {
			openedPerStart -= OPENING_SHARE_WEIGHT * openedPerStart;
		},
		noteOpened(openMs) {
			opening.observe('open', Math.min(openMs, MAX_SAMPLE_FACTOR * opening.getMeanMs()), true);
			openedPerStart += OPENING_SHARE_WEIGHT;
		},
	};
}

/** Returns the kind of a request: its route's priority, and whether it is a read, a write or a transaction. */
function getKind({priority, single, read}: AcquireRequest): string {
	return `${priority} ${single ? (read ? 'read' : 'write') : 'transaction'}`;
}
