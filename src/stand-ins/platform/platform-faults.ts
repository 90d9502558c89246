import * as z from 'zod';
import {throwPlatformSilent} from '../../object-store/platform-errors.js';
import type {Clock} from '../../time/clock.js';

/** How the platform fails as a whole. */
export const Outage = {
	None: 'none',
	/** Every call is answered at once with an error. */
	Refusing: 'refusing',
	/** No call is ever answered. */
	Silent: 'silent',
} as const;

/** One of the outages in {@link Outage}. */
export type Outage = typeof Outage[keyof typeof Outage];

/** Checks a change of faults. */
export const platformFaultsSchema = z.strictObject({
	outage: z.enum(Outage),
	/** Time before a call takes effect, in milliseconds. */
	requestDelayMs: z.number().min(0),
	/** Time between a call's effect and its answer, in milliseconds. */
	answerDelayMs: z.number().min(0),
	/** Every other answer is held back this much longer, in milliseconds, so that later ones overtake it. */
	overtakenMs: z.number().min(0),
	/** How many further changes take effect without their answers arriving. */
	lostAnswers: z.int().min(0),
	/** Watches hang for good, also those that wait already when a change comes. */
	deadWatches: z.boolean(),
});

/** The faults in effect; assigned to at run time. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** What a call does, as far as faults tell calls apart. */
export const CallEffect = {
	Read: 'read',
	Change: 'change',
	Watch: 'watch',
} as const;

/** One of the effects in {@link CallEffect}. */
export type CallEffect = typeof CallEffect[keyof typeof CallEffect];

/** A stretch of the way to the platform on which faults act. */
export type FaultGate = {
	/** The faults in effect; assign to its fields. */
	readonly faults: PlatformFaults;
	/** Calls that came this way so far, whatever became of them. */
	readonly passed: number;
	/** Runs a call under the faults; stays pending for good where the answer is lost, rejects with PlatformError where it is refused. */
	pass<T>(effect: CallEffect, run: () => T | Promise<T>): Promise<T>;
	/** Makes every watch that waits now hang for good, while new ones work. */
	silenceOpenWatches(): void;
};

/** Creates a gate without faults. */
export function createFaultGate({clock}: {readonly clock: Clock}): FaultGate {
	const faults: PlatformFaults = {
		outage: Outage.None, requestDelayMs: 0, answerDelayMs: 0, overtakenMs: 0, lostAnswers: 0, deadWatches: false,
	};
	let passed = 0;
	let answers = 0;
	let watchGeneration = 0;

	const failUnderOutage = async () => {
		if (faults.outage === Outage.Refusing) {
			throwPlatformSilent('any call during an outage');
		}

		if (faults.outage === Outage.Silent) {
			await hang();
		}
	};

	const failAfterEffect = async (effect: CallEffect, generation: number) => {
		if (effect === CallEffect.Watch && (faults.deadWatches || generation !== watchGeneration)) {
			await hang();
		}

		if (effect === CallEffect.Change && faults.lostAnswers > 0) {
			faults.lostAnswers--;
			await hang();
		}
	};

	const delay = async (ms: number) => {
		if (ms > 0) {
			await clock.sleep(ms);
		}
	};

	const getAnswerDelayMs = () => {
		answers++;
		return faults.answerDelayMs + (answers % 2 === 1 ? faults.overtakenMs : 0);
	};

	return {
		faults,
		get passed() {
			return passed;
		},
		async pass(effect, run) {
			passed++;
			const generation = watchGeneration;
			await failUnderOutage();
			await delay(faults.requestDelayMs);
			const answer = settle(run);
			await answer.catch(() => undefined);
			await failAfterEffect(effect, generation);
			await delay(getAnswerDelayMs());
			await failUnderOutage();
			return answer;
		},
		silenceOpenWatches() {
			watchGeneration++;
		},
	};
}

async function settle<T>(run: () => T | Promise<T>): Promise<T> {
	return run();
}

async function hang(): Promise<never> {
	return new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}
