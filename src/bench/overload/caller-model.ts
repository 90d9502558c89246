import type {WorkClass} from '../../groups/group-config.js';
import type {Random} from '../../random/random.js';
import type {VirtualSchedule} from '../virtual-schedule.js';
import type {ModelService} from './request-model.js';
import {drawWorkMs, type Mix} from './traffic.js';

/** How a caller takes a failure. */
export const CallerKind = {
	/** Does not ask again. */
	Single: 'single',
	/** Asks again after a short pause, whatever it was told. */
	Impatient: 'impatient',
	/** Asks again when it was told to come back. */
	Polite: 'polite',
} as const;

/** One of the kinds in {@link CallerKind}. */
export type CallerKind = typeof CallerKind[keyof typeof CallerKind];

/** What became of a caller's request, over all its asks. */
export type CallerOutcome = {
	readonly class: WorkClass;
	readonly workMs: number;
	readonly askedAt: number;
	readonly endedAt: number;
	/** Answered within the deadline of one of its asks. */
	readonly inTime: boolean;
	/** Time from the ask that was answered to its answer, in milliseconds. */
	readonly answerMs: number;
	readonly asks: number;
};

/** What a caller's model is made of. */
export type CallerModelOptions = {
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	readonly mix: Mix;
	readonly kind: CallerKind;
	readonly entry: ModelService;
};

const MOST_ASKS = 4;
const IMPATIENT_PAUSE_MS = 100;
const DEFAULT_PAUSE_MS = 1000;

/** Creates callers; each call sends one request of the class and follows it to its end. */
export function createCallerModel(options: CallerModelOptions): (workClass: WorkClass) => Promise<CallerOutcome> {
	const {schedule, random, mix, kind, entry} = options;
	const mostAsks = kind === CallerKind.Single ? 1 : MOST_ASKS;

	/** Answers at the deadline at the latest: then the caller has left. */
	const ask = async (workClass: WorkClass, workMs: number) => {
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

	const getPauseMs = (retryAfterMs: number | undefined) => kind === CallerKind.Polite
		? retryAfterMs ?? DEFAULT_PAUSE_MS
		: IMPATIENT_PAUSE_MS * (0.5 + random.fraction());

	return async workClass => {
		const askedAt = schedule.now();
		const workMs = drawWorkMs(mix[workClass].workMs, random);
		for (let asks = 1; ; asks++) {
			const lastAskAt = schedule.now();
			const answer = await ask(workClass, workMs);
			if (answer.done || asks >= mostAsks) {
				const endedAt = schedule.now();
				return {
					class: workClass, workMs, askedAt, endedAt, inTime: answer.done, answerMs: endedAt - lastAskAt, asks,
				};
			}

			await schedule.sleep(getPauseMs(answer.retryAfterMs));
		}
	};
}
