import type {WorkClass} from '../../groups/group-config.js';
import {getPercentile} from '../statistics.js';
import type {CallerOutcome} from './caller-model.js';

/** A stretch of a run, in milliseconds from its start. */
export type Window = {
	readonly from: number;
	readonly to: number;
};

/** Answers a second that came in the window, and in time. */
export function getGoodput(outcomes: readonly CallerOutcome[], window: Window): number {
	return getAnswered(outcomes, window).length * 1000 / (window.to - window.from);
}

/** Part of the server's slot time that went into requests answered in time. */
export function getUsefulWork(outcomes: readonly CallerOutcome[], window: Window, slots: number): number {
	return getAnswered(outcomes, window).reduce((sum, {workMs}) => sum + workMs, 0) / (slots * (window.to - window.from));
}

/** Part of the class's requests that were answered in time. */
export function getInTimePart(outcomes: readonly CallerOutcome[], window: Window, workClass?: WorkClass): number {
	const asked = getAsked(outcomes, window).filter(outcome => workClass === undefined || outcome.class === workClass);
	return asked.filter(({inTime}) => inTime).length / asked.length;
}

/** The class's time to an answer that came in time, below which `part` of them lie, in milliseconds. */
export function getAnswerMs(outcomes: readonly CallerOutcome[], window: Window, workClass: WorkClass, part: number): number {
	const answered = getAsked(outcomes, window).filter(outcome => outcome.inTime && outcome.class === workClass);
	return getPercentile(answered.map(({answerMs}) => answerMs), part);
}

/** The time to the last ask's refusal or deadline for requests that were not answered in time, below which `part` of them lie, in milliseconds. */
export function getFailedMs(outcomes: readonly CallerOutcome[], window: Window, part: number): number {
	const failed = getAsked(outcomes, window).filter(outcome => !outcome.inTime);
	return getPercentile(failed.map(({answerMs}) => answerMs), part);
}

const STEP_MS = 500;

/** Steps in a row that must be good for a recovery. */
const GOOD_STEPS = 4;

/** Part of what was answered before the fault that counts as good again. */
const GOOD_PART = 0.95;

/** Time from `endOfFault` until requests are answered in time as often as before it, in milliseconds; Infinity where it is not seen. */
export function getRecoveryMs(outcomes: readonly CallerOutcome[], before: Window, endOfFault: number, lengthMs: number): number {
	const good = GOOD_PART * getInTimePart(outcomes, before);
	let goodSteps = 0;
	for (let from = endOfFault; from < lengthMs; from += STEP_MS) {
		const isGood = getInTimePart(outcomes, {from, to: from + STEP_MS}) >= good;
		goodSteps = isGood ? goodSteps + 1 : 0;
		if (goodSteps === GOOD_STEPS) {
			return from - ((GOOD_STEPS - 1) * STEP_MS) - endOfFault;
		}
	}

	return Number.POSITIVE_INFINITY;
}

function getAsked(outcomes: readonly CallerOutcome[], {from, to}: Window): readonly CallerOutcome[] {
	return outcomes.filter(({askedAt}) => askedAt >= from && askedAt < to);
}

function getAnswered(outcomes: readonly CallerOutcome[], {from, to}: Window): readonly CallerOutcome[] {
	return outcomes.filter(({endedAt, inTime}) => inTime && endedAt >= from && endedAt < to);
}
