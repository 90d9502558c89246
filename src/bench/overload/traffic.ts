import type {WorkClass} from '../../groups/group-config.js';
import type {Random} from '../../random/random.js';

/** What callers of one class send. */
export type ClassTraffic = {
	/** Part of all requests, 0 to 1. */
	readonly part: number;
	/** Mean time that a statement takes on an idle server, in milliseconds. */
	readonly workMs: number;
	/** Mean time that callers wait, in milliseconds; it is drawn evenly from half to one and a half of it. */
	readonly deadlineMs: number;
	readonly isRead: boolean;
	/** Mean time that an answer waits for replication, in milliseconds. */
	readonly replicationMs: number;
};

/** What callers send, by class. */
export type Mix = Readonly<Record<WorkClass, ClassTraffic>>;

/** Filings and syncs; lookups and coach pulls; dockets and reconciliation, which take longer each. */
export const USERS_MIX: Mix = {
	deadline: {
		part: 0.2, workMs: 10, deadlineMs: 1000, isRead: false, replicationMs: 0,
	},
	interactive: {
		part: 0.6, workMs: 10, deadlineMs: 500, isRead: true, replicationMs: 0,
	},
	background: {
		part: 0.2, workMs: 30, deadlineMs: 5000, isRead: true, replicationMs: 0,
	},
};

/** Spread of a statement's work around its mean: the sigma of a log-normal distribution, with a 99th percentile of 4.7 times the mean. */
const WORK_SIGMA = 0.8;

/** Requests a second that keep all slots busy. */
export function getCapacity(mix: Mix, slots: number): number {
	const meanMs = Object.values(mix).reduce((sum, traffic) => sum + (traffic.part * traffic.workMs), 0);
	return slots * 1000 / meanMs;
}

/** Draws the class of the next request. */
export function drawClass(mix: Mix, random: Random): WorkClass {
	const fraction = random.fraction();
	if (fraction < mix.deadline.part) {
		return 'deadline';
	}

	return fraction < mix.deadline.part + mix.interactive.part ? 'interactive' : 'background';
}

/** Draws a statement's work, log-normal around its mean. */
export function drawWorkMs(meanMs: number, random: Random): number {
	const angle = 2 * Math.PI * random.fraction();
	const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(angle);
	return meanMs * Math.exp((WORK_SIGMA * normal) - ((WORK_SIGMA ** 2) / 2));
}

/** Draws the time until the next of `perSecond` independent arrivals, in milliseconds. */
export function drawGapMs(perSecond: number, random: Random): number {
	return -Math.log(1 - random.fraction()) * 1000 / perSecond;
}
