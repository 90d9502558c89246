import type {Clock} from '../time/clock.js';
import {createDeadlineWatch} from '../time/deadline-watch.js';
import {throwNoAnswer, throwNotConnected} from './endpoint-errors.js';

/** Keeps the rules of exchanges on one connection: one at a time, in time, and none after one that failed. */
export type ExchangeRunner = {
	/** False once the connection has ended. */
	readonly usable: boolean;
	/**
	 * Runs one exchange; rejects with EndpointError when it brings no answer within `timeoutMs`.
	 *
	 * An answer that comes late must not reach the connection's next user as the answer to another question. So any
	 * exchange without an answer ends the connection, and what still arrives on it is thrown away with it.
	 */
	run<T>(what: string, timeoutMs: number, work: () => Promise<T>): Promise<T>;
	/** Ends the connection; an exchange in flight rejects at once. */
	end(cause: unknown): void;
};

/** What an exchange runner needs. */
export type ExchangeRunnerOptions = {
	readonly address: string;
	readonly clock: Clock;
	/** Called once, to cut what lies below. */
	onEnd(): void;
};

/** Creates the runner of an open connection. */
export function createExchangeRunner({address, clock, onEnd}: ExchangeRunnerOptions): ExchangeRunner {
	let usable = true;
	let rejectCurrent: ((cause: unknown) => void) | undefined;

	const watch = createDeadlineWatch(clock, () => {
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
		async run(what, timeoutMs, work) {
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
				return throwNoAnswer(address, what, err);
			} finally {
				rejectCurrent = undefined;
				watch.clear();
			}
		},
		end,
	};
}
