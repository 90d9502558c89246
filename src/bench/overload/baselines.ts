import type {Admission, AdmissionResult, AdmissionRequest} from '../../admission/admission.js';
import {RefusalCode} from '../../refusals/refusal.js';

/** A queue without classes or deadlines: first come first served, at most `limit` at once, refused where `maxQueued` wait. */
export function createFifoAdmission(limit: number, maxQueued = Number.POSITIVE_INFINITY): Admission {
	const waiting: Array<{readonly enteredAt: number; answer(answer: AdmissionResult): void}> = [];
	let running = 0;

	const grant = (enteredAt: number, now: number): AdmissionResult => {
		running++;
		return {
			admitted: true,
			queuedMs: now - enteredAt,
			release(releasedAt) {
				running--;
				const next = waiting.shift();
				next?.answer(grant(next.enteredAt, releasedAt));
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
				waiting.push({enteredAt: now, answer: resolve});
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
