import type {WorkClass} from '../../groups/group-config.js';
import {getPercentile} from '../statistics.js';
import type {CallerOutcome} from './caller-model.js';

/** An interval of a run, in milliseconds from its start. */
export type Window = {
	readonly from: number;
	readonly to: number;
};

/** Returns the requests a second that ended in the window and were answered in time. */
export function getGoodput(outcomes: readonly CallerOutcome[], window: Window): number {
	return getAnswered(outcomes, window).length * 1000 / (window.to - window.from);
}

/** Returns the part of the server's slot time that went into requests answered in time, 0 to 1. */
export function getUsefulWork(outcomes: readonly CallerOutcome[], window: Window, slots: number): number {
	return getAnswered(outcomes, window).reduce((sum, {workMs}) => sum + workMs, 0) / (slots * (window.to - window.from));
}

/** Returns the part of the requests sent in the window, of one class or of all, that were answered in time. */
export function getInTimePart(outcomes: readonly CallerOutcome[], window: Window, workClass?: WorkClass): number {
	const sent = getSent(outcomes, window).filter(outcome => workClass === undefined || outcome.class === workClass);
	return sent.filter(({inTime}) => inTime).length / sent.length;
}

/** Returns the `part` quantile of the response times of the class's requests that were answered in time, in milliseconds. */
export function getResponseMs(outcomes: readonly CallerOutcome[], window: Window, workClass: WorkClass, part: number): number {
	const answered = getSent(outcomes, window).filter(outcome => outcome.inTime && outcome.class === workClass);
	return getPercentile(answered.map(({responseMs}) => responseMs), part);
}

/** Returns the `part` quantile of the times from the last attempt to its refusal or deadline, of requests that were not answered in time, in milliseconds. */
export function getFailedMs(outcomes: readonly CallerOutcome[], window: Window, part: number): number {
	const failed = getSent(outcomes, window).filter(outcome => !outcome.inTime);
	return getPercentile(failed.map(({responseMs}) => responseMs), part);
}

const STEP_MS = 500;

/** Consecutive steps that must reach the part below for a recovery. */
const RECOVERY_STEPS = 4;

/** Part of the in-time rate before the fault that a recovered step reaches. */
const RECOVERY_PART = 0.95;

/** Returns the time from `endOfFault` until requests are answered in time as often as before the fault, in milliseconds; Infinity without a recovery within the run. */
export function getRecoveryMs(outcomes: readonly CallerOutcome[], before: Window, endOfFault: number, lengthMs: number): number {
	const requiredPart = RECOVERY_PART * getInTimePart(outcomes, before);
	let recoveredSteps = 0;
	for (let from = endOfFault; from < lengthMs; from += STEP_MS) {
		const isRecovered = getInTimePart(outcomes, {from, to: from + STEP_MS}) >= requiredPart;
		recoveredSteps = isRecovered ? recoveredSteps + 1 : 0;
		if (recoveredSteps === RECOVERY_STEPS) {
			return from - ((RECOVERY_STEPS - 1) * STEP_MS) - endOfFault;
		}
	}

	return Number.POSITIVE_INFINITY;
}

function getSent(outcomes: readonly CallerOutcome[], {from, to}: Window): readonly CallerOutcome[] {
	return outcomes.filter(({sentAt}) => sentAt >= from && sentAt < to);
}

function getAnswered(outcomes: readonly CallerOutcome[], {from, to}: Window): readonly CallerOutcome[] {
	return outcomes.filter(({endedAt, inTime}) => inTime && endedAt >= from && endedAt < to);
}
