import type {WorkClass} from '../../groups/group-config.js';
import type {Random} from '../../random/random.js';
import type {VirtualSchedule} from '../virtual-schedule.js';
import type {ModelService} from './request-model.js';
import {drawWorkMs, type Mix} from './traffic.js';

/** How a caller reacts to a failure. */
export const CallerKind = {
	/** Does not retry. */
	Single: 'single',
	/** Retries after a short delay and ignores the retry-after that it is given. */
	Impatient: 'impatient',
	/** Retries after the retry-after that it is given, or after one second where none is given. */
	Polite: 'polite',
} as const;

/** One of the kinds in {@link CallerKind}. */
export type CallerKind = typeof CallerKind[keyof typeof CallerKind];

/** The outcome of a caller's request over all its attempts. */
export type CallerOutcome = {
	readonly class: WorkClass;
	readonly workMs: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** Whether it was answered within the deadline of one of its attempts. */
	readonly inTime: boolean;
	/** Time from the last attempt to its response, refusal or deadline, in milliseconds. */
	readonly responseMs: number;
	readonly attempts: number;
};

/** Dependencies and settings of a caller model. */
export type CallerModelOptions = {
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	readonly mix: Mix;
	readonly kind: CallerKind;
	readonly entry: ModelService;
};

const MAX_ATTEMPTS = 4;
const IMPATIENT_DELAY_MS = 100;
const DEFAULT_RETRY_DELAY_MS = 1000;

/** Returns a function that sends one request of a class and resolves with its outcome after the last attempt. */
export function createCallerModel(options: CallerModelOptions): (workClass: WorkClass) => Promise<CallerOutcome> {
	const {schedule, random, mix, kind, entry} = options;
	const maxAttempts = kind === CallerKind.Single ? 1 : MAX_ATTEMPTS;

	/** Resolves at the deadline at the latest, since the caller leaves then. */
	const send = async (workClass: WorkClass, workMs: number) => {
		const {deadlineMs, isRead, replicationMs} = mix[workClass];
		const deadlineAt = schedule.now() + (deadlineMs * (0.5 + random.fraction()));
		return new Promise<{done: boolean; retryAfterMs?: number}>(resolve => {
			schedule.at(deadlineAt, () => {
				resolve({done: false});
			});
			void entry.execute({
				class: workClass, workMs, deadlineAt, isRead,
				replicationMs: replicationMs > 0 ? drawWorkMs(replicationMs, random) : 0,
			}).then(resolve);
		});
	};

	const getRetryDelayMs = (retryAfterMs: number | undefined) => kind === CallerKind.Polite
		? retryAfterMs ?? DEFAULT_RETRY_DELAY_MS
		: IMPATIENT_DELAY_MS * (0.5 + random.fraction());

	return async workClass => {
		const sentAt = schedule.now();
		const workMs = drawWorkMs(mix[workClass].workMs, random);
		for (let attempts = 1; ; attempts++) {
			const lastAttemptAt = schedule.now();
			const response = await send(workClass, workMs);
			if (response.done || attempts >= maxAttempts) {
				const endedAt = schedule.now();
				return {
					class: workClass, workMs, sentAt, endedAt, inTime: response.done, responseMs: endedAt - lastAttemptAt, attempts,
				};
			}

			await schedule.sleep(getRetryDelayMs(response.retryAfterMs));
		}
	};
}
