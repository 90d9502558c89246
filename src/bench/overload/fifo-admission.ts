import type {Admission, AdmissionResult, AdmissionRequest} from '../../admission/admission.js';
import {RefusalCode} from '../../refusals/refusal.js';

/** Creates a first-come-first-served admission without classes or deadlines: at most `limit` requests run at once, and a request is refused while `maxQueued` wait. */
export function createFifoAdmission(limit: number, maxQueued = Number.POSITIVE_INFINITY): Admission {
	const waiting: Array<{readonly enteredAt: number; resolve(result: AdmissionResult): void}> = [];
	let running = 0;

	const grant = (enteredAt: number, now: number): AdmissionResult => {
		running++;
		return {
			admitted: true,
			queuedMs: now - enteredAt,
			release(releasedAt) {
				running--;
				const next = waiting.shift();
				next?.resolve(grant(next.enteredAt, releasedAt));
			},
		};
	};

	return {
		async acquire(_req: AdmissionRequest, now: number) {
			if (running < limit) {
				return grant(now, now);
			}

			if (waiting.length >= maxQueued) {
				return {admitted: false, refusal: {code: RefusalCode.QueueFull, reason: 'the queue is full', facts: {}}};
			}

			return new Promise<AdmissionResult>(resolve => {
				waiting.push({enteredAt: now, resolve});
			});
		},
		getPredictedWaitMs: () => 0,
		getLoad: () => ({
			running, limit, queued: {deadline: 0, interactive: waiting.length, background: 0}, serviceMs: 0,
		}),
		close() {
			waiting.length = 0;
		},
	};
}
