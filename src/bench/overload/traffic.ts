import type {WorkClass} from '../../groups/group-config.js';
import type {Random} from '../../random/random.js';

/** The traffic of one class. */
export type ClassTraffic = {
	/** Part of all requests, 0 to 1. */
	readonly part: number;
	/** Mean time that a statement takes on an idle server, in milliseconds. */
	readonly workMs: number;
	/** Mean deadline of a request, in milliseconds; deadlines are uniformly distributed from 0.5 to 1.5 times the mean. */
	readonly deadlineMs: number;
	readonly isRead: boolean;
	/** Mean time that a response waits for replication, in milliseconds. */
	readonly replicationMs: number;
};

/** The traffic of callers, by class. */
export type Mix = Readonly<Record<WorkClass, ClassTraffic>>;

/** Traffic of the users: filings and syncs (deadline); lookups and coach pulls (interactive); dockets and reconciliation, which take longer each (background). */
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

/** Sigma of the log-normal distribution of a statement's work, whose 99th percentile is 4.7 times the mean. */
const WORK_SIGMA = 0.8;

/** Returns the request rate that keeps all slots busy, in requests a second. */
export function getCapacity(mix: Mix, slots: number): number {
	const meanMs = Object.values(mix).reduce((sum, traffic) => sum + (traffic.part * traffic.workMs), 0);
	return slots * 1000 / meanMs;
}

/** Draws the class of a request by the parts of the mix. */
export function drawClass(mix: Mix, random: Random): WorkClass {
	const fraction = random.fraction();
	if (fraction < mix.deadline.part) {
		return 'deadline';
	}

	return fraction < mix.deadline.part + mix.interactive.part ? 'interactive' : 'background';
}

/** Draws a statement's work from a log-normal distribution with the given mean, in milliseconds. */
export function drawWorkMs(meanMs: number, random: Random): number {
	const angle = 2 * Math.PI * random.fraction();
	const normal = Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(angle);
	return meanMs * Math.exp((WORK_SIGMA * normal) - ((WORK_SIGMA ** 2) / 2));
}

/** Draws the time until the next of `perSecond` independent arrivals, in milliseconds. */
export function drawGapMs(perSecond: number, random: Random): number {
	return -Math.log(1 - random.fraction()) * 1000 / perSecond;
}
