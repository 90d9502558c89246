/** Waits for one answer at a time, until it is told to wait no longer. */
export type AnswerWait = {
	/** The answer; undefined where it was given up before. */
	waitFor<T>(answer: Promise<T>): Promise<T | undefined>;
	/** Ends the wait under way, if there is one. */
	giveUp(): void;
};

/**
 * Creates a wait. Guards against a statement that is cut off with the process, which its caller would see as a connection that just ends: whatever it waits for,
 * its session can be had to give it a final answer.
 */
export function createAnswerWait(): AnswerWait {
	let endWait: (() => void) | undefined;

	return {
		async waitFor(answer) {
			const givenUp = new Promise<undefined>(resolve => {
				endWait = () => {
					resolve(undefined);
				};
			});
			const first = await Promise.race([answer, givenUp]);
			endWait = undefined;
			return first;
		},
		giveUp() {
			endWait?.();
		},
	};
}
