import type {Standing} from './group-outliers.js';
import {getMedian} from './median.js';

/** The last answers of one endpoint, and its ejection where it is ejected. Times are steady times in milliseconds. */
export type EndpointRecord = {
	/** Number of answers that are remembered, and how many of them were errors. */
	readonly answers: number;
	readonly errors: number;
	/** Median time of the remembered answers relative to the usual time; undefined before enough of them were observed. */
	readonly medianTime: number | undefined;
	/** Whether the endpoint is ejected, also while single reads try it. */
	readonly ejected: boolean;
	note(isError: boolean, relativeTime: number, now: number): void;
	/** Ejects the endpoint; returns for how long, in milliseconds. */
	eject(now: number): number;
	/** Notes that a single read is sent to the ejected endpoint. */
	noteTrialSent(now: number): void;
	/** Notes how a read of the ejected endpoint ended; returns the duration of another ejection in milliseconds where that follows. */
	noteTrialEnded(isError: boolean, relativeTime: number, now: number): number | undefined;
	/** Ends an ejection at once. */
	readmit(now: number): void;
	getStanding(now: number): Standing;
};

/** Number of answers that an endpoint is evaluated by. */
const REMEMBERED_ANSWERS = 20;

/** Duration of the first ejection and the maximum, in milliseconds. */
const FIRST_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 16_000;

/** Number of single reads in a row that an ejected endpoint has to answer, none slower than the relative time: an endpoint that fails half of its requests answers one of them by chance. */
const TRIALS = 3;
const MAX_TRIAL_TIME = 9;

/** A single read without an answer for this long no longer holds up the next one, in milliseconds: its host may have given up on it. */
const TRIAL_TIMEOUT_MS = 2000;

/** Time over which the share of a new or readmitted endpoint grows to 1, in milliseconds, and its first share: its caches are cold. */
const SLOW_START_MS = 2000;
const FIRST_SHARE = 0.1;

type Ejected = {readonly until: number; readonly trials: number; readonly trialSentAt: number | undefined};

/** Creates the record of an endpoint; `startedAt` is the time from which it is new, undefined where it is not. */
export function createEndpointRecord(startedAt: number | undefined): EndpointRecord {
	/** A ring of the last answers: the relative time of each, undefined for an error. */
	let ring: Array<number | undefined> = [];
	let next = 0;
	let errors = 0;
	let medianTime: number | undefined;
	let ejected: Ejected | undefined;
	let durationMs = FIRST_EJECTION_MS;
	let faultlessSince = startedAt ?? 0;
	let slowStartAt = startedAt;

	const clear = () => {
		ring = [];
		next = 0;
		errors = 0;
		medianTime = undefined;
	};

	const remember = (time: number | undefined) => {
		if (ring.length === REMEMBERED_ANSWERS) {
			errors -= ring[next] === undefined ? 1 : 0;
		}

		ring[next] = time;
		next = (next + 1) % REMEMBERED_ANSWERS;
		errors += time === undefined ? 1 : 0;
		// The median is evaluated once in four answers, so that an answer costs few microseconds.
		if (ring.length === REMEMBERED_ANSWERS && next % 4 === 0) {
			medianTime = getMedian(ring.filter(value => value !== undefined));
		}
	};

	/** Halves the duration of the next ejection for each such duration without an error. */
	const applyFaultless = (now: number) => {
		while (durationMs > FIRST_EJECTION_MS && now - faultlessSince >= durationMs) {
			faultlessSince += durationMs;
			durationMs /= 2;
		}
	};

	const eject = (now: number) => {
		const forMs = durationMs;
		durationMs = Math.min(MAX_EJECTION_MS, durationMs * 2);
		faultlessSince = now + forMs;
		ejected = {until: now + forMs, trials: 0, trialSentAt: undefined};
		clear();
		return forMs;
	};

	const readmit = (now: number) => {
		if (ejected) {
			ejected = undefined;
			slowStartAt = now;
			clear();
		}
	};

	return {
		get answers() {
			return ring.length;
		},
		get errors() {
			return errors;
		},
		get medianTime() {
			return medianTime;
		},
		get ejected() {
			return ejected !== undefined;
		},
		note(isError, relativeTime, now) {
			applyFaultless(now);
			if (isError) {
				faultlessSince = now;
			}

			remember(isError ? undefined : relativeTime);
		},
		eject,
		noteTrialSent(now) {
			ejected &&= {...ejected, trialSentAt: now};
		},
		noteTrialEnded(isError, relativeTime, now) {
			// Requests that were sent before the ejection may end during it.
			if (ejected?.trialSentAt === undefined) {
				return undefined;
			}

			if (isError || relativeTime > MAX_TRIAL_TIME) {
				return eject(now);
			}

			ejected = {until: ejected.until, trials: ejected.trials + 1, trialSentAt: undefined};
			if (ejected.trials >= TRIALS) {
				readmit(now);
			}

			return undefined;
		},
		readmit,
		getStanding(now) {
			if (ejected) {
				const {until, trialSentAt} = ejected;
				const isTrial = now >= until && (trialSentAt === undefined || now - trialSentAt >= TRIAL_TIMEOUT_MS);
				return {usable: isTrial, isTrial, share: 0};
			}

			const share = slowStartAt === undefined ? 1 : Math.min(1, FIRST_SHARE + ((1 - FIRST_SHARE) * (now - slowStartAt) / SLOW_START_MS));
			return {usable: true, isTrial: false, share};
		},
	};
}
