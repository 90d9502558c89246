import * as z from 'zod';
import {throwPlatformSilent} from '../../object-store/platform-errors.js';
import type {Clock} from '../../time/clock.js';

/** How the platform fails as a whole. */
export const Outage = {
	None: 'none',
	/** Every call gets an error response at once. */
	Refusing: 'refusing',
	/** No call ever gets a response. */
	Silent: 'silent',
} as const;

/** One of the outages in {@link Outage}. */
export type Outage = typeof Outage[keyof typeof Outage];

/** Schema of the faults. */
export const platformFaultsSchema = z.strictObject({
	outage: z.enum(Outage),
	/** Time before a call takes effect, in milliseconds. */
	requestDelayMs: z.number().min(0),
	/** Time between a call's effect and its response, in milliseconds. */
	answerDelayMs: z.number().min(0),
	/** Every other response is delayed by this much more, in milliseconds, so that later ones overtake it. */
	overtakenMs: z.number().min(0),
	/** How many of the next changes take effect while their responses are lost. */
	lostAnswers: z.int().min(0),
	/** Watches never get a response; this includes those that are already waiting when an object changes. */
	deadWatches: z.boolean(),
});

/** The active faults; their fields are assigned at run time. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** What a call does, as far as faults distinguish between calls. */
export const CallEffect = {
	Read: 'read',
	Change: 'change',
	Watch: 'watch',
} as const;

/** One of the effects in {@link CallEffect}. */
export type CallEffect = typeof CallEffect[keyof typeof CallEffect];

/** Injects faults into the calls that pass through it to the platform. */
export type FaultInjector = {
	/** The active faults; assign to the fields to change them. */
	readonly faults: PlatformFaults;
	/** Number of calls so far, whatever their result. */
	readonly callCount: number;
	/** Runs a call under the active faults; never settles if the response is lost, and rejects with PlatformError if the call is refused. */
	runWithFaults<T>(effect: CallEffect, run: () => T | Promise<T>): Promise<T>;
	/** Makes every waiting watch hang for good; new watches work. */
	silenceOpenWatches(): void;
};

/** Creates a fault injector without active faults. */
export function createFaultInjector({clock}: {readonly clock: Clock}): FaultInjector {
	const faults: PlatformFaults = {
		outage: Outage.None, requestDelayMs: 0, answerDelayMs: 0, overtakenMs: 0, lostAnswers: 0, deadWatches: false,
	};
	let callCount = 0;
	let answerCount = 0;
	let watchGeneration = 0;

	const failDuringOutage = async () => {
		if (faults.outage === Outage.Refusing) {
			throwPlatformSilent('any call during an outage');
		}

		if (faults.outage === Outage.Silent) {
			await waitForever();
		}
	};

	const failAfterEffect = async (effect: CallEffect, generation: number) => {
		if (effect === CallEffect.Watch && (faults.deadWatches || generation !== watchGeneration)) {
			await waitForever();
		}

		if (effect === CallEffect.Change && faults.lostAnswers > 0) {
			faults.lostAnswers--;
			await waitForever();
		}
	};

	const delay = async (ms: number) => {
		if (ms > 0) {
			await clock.sleep(ms);
		}
	};

	const getAnswerDelayMs = () => {
		answerCount++;
		return faults.answerDelayMs + (answerCount % 2 === 1 ? faults.overtakenMs : 0);
	};

	return {
		faults,
		get callCount() {
			return callCount;
		},
		async runWithFaults(effect, run) {
			callCount++;
			const generation = watchGeneration;
			await failDuringOutage();
			await delay(faults.requestDelayMs);
			const answer = runAsync(run);
			await answer.catch(() => undefined);
			await failAfterEffect(effect, generation);
			await delay(getAnswerDelayMs());
			await failDuringOutage();
			return answer;
		},
		silenceOpenWatches() {
			watchGeneration++;
		},
	};
}

async function runAsync<T>(run: () => T | Promise<T>): Promise<T> {
	return run();
}

async function waitForever(): Promise<never> {
	return new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}
