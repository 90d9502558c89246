/** A wait for one answer at a time that can be ended early. */
export type AnswerWait = {
	/** Resolves with the answer; undefined where the wait was ended before it came. */
	waitFor<T>(answer: Promise<T>): Promise<T | undefined>;
	/** Ends the wait under way, if there is one. */
	giveUp(): void;
};

/**
 * Creates a wait. Guards against a statement that is still waiting when the process ends, which its caller would see as a connection that closes without
 * an answer: whatever the statement waits for, its session can end the wait and send a final answer.
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
