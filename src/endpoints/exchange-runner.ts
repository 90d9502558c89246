import type {Clock} from '../time/clock.js';
import {createDeadlineTimer} from '../time/deadline-timer.js';
import {throwNoAnswer, throwNotConnected} from './endpoint-errors.js';

/** Runs the exchanges of one connection under its rules: one at a time, each within its timeout, and none after one that failed. */
export type ExchangeRunner = {
	/** False once the connection has ended. */
	readonly usable: boolean;
	/**
	 * Runs one exchange; rejects with EndpointError when it gets no answer within `timeoutMs`.
	 *
	 * A late answer must not reach the connection's next user as the answer to another request. So any
	 * exchange without an answer ends the connection, and data that still arrives on it is discarded.
	 */
	run<T>(exchangeName: string, timeoutMs: number, work: () => Promise<T>): Promise<T>;
	/** Ends the connection; an exchange in flight rejects at once. */
	end(cause: unknown): void;
};

/** Options of an exchange runner. */
export type ExchangeRunnerOptions = {
	readonly address: string;
	readonly clock: Clock;
	/** Called once, to close the underlying connection. */
	onEnd(): void;
};

/** Creates a runner for an open connection. */
export function createExchangeRunner({address, clock, onEnd}: ExchangeRunnerOptions): ExchangeRunner {
	let usable = true;
	let rejectCurrent: ((cause: unknown) => void) | undefined;

	const watch = createDeadlineTimer(clock, () => {
		end('nothing came within the timeout');
	});

	const end = (cause: unknown) => {
		if (usable) {
			usable = false;
			rejectCurrent?.(cause);
			watch.stop();
			onEnd();
		}
	};

	return {
		get usable() {
			return usable;
		},
		async run(exchangeName, timeoutMs, work) {
			if (!usable) {
				throwNotConnected(address, 'the connection has ended');
			}

			if (rejectCurrent) {
				throwNotConnected(address, 'the connection is busy with another exchange');
			}

			watch.set(clock.now() + timeoutMs);
			try {
				return await new Promise((resolve, reject) => {
					rejectCurrent = reject;
					work().then(resolve, reject);
				});
			} catch (err) {
				end(err);
				return throwNoAnswer(address, exchangeName, err);
			} finally {
				rejectCurrent = undefined;
				watch.clear();
			}
		},
		end,
	};
}
