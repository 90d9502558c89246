import type {EndpointConnection} from '../../src/endpoints/endpoint.js';
import {throwNoAnswer} from '../../src/endpoints/endpoint-errors.js';
import type {Clock} from '../../src/time/clock.js';
import {withinMs} from '../../src/time/deadline.js';

/** Timeout of an exchange whose caller has given up on it, in milliseconds. */
const ABANDONED_EXCHANGE_TIMEOUT_MS = 60_000;

/**
 * Creates a connection that is used again although an exchange on it timed out.
 *
 * Answers arrive in order, as on a real connection, so a late one is taken for the answer to the next request of its kind.
 */
export function createReusedConnection(connection: EndpointConnection, address: string, clock: Clock): EndpointConnection {
	const lateAnswers = new Map<string, Promise<unknown>>();

	const run = async <T>(kind: string, timeoutMs: number, exchange: () => Promise<T>): Promise<T> => {
		const lateAnswer = lateAnswers.get(kind) as Promise<T> | undefined;
		const answer = lateAnswer ?? exchange();
		const bounded = await withinMs(clock, timeoutMs, answer);
		if (bounded.timedOut) {
			lateAnswers.set(kind, answer);
			return throwNoAnswer(address, kind);
		}

		lateAnswers.delete(kind);
		return bounded.value;
	};

	return {
		...connection,
		get usable() {
			return connection.usable;
		},
		write: async (write, timeoutMs) => run('write', timeoutMs, async () => connection.write(write, ABANDONED_EXCHANGE_TIMEOUT_MS)),
		resolve: async (requestId, term, timeoutMs) => run('resolve', timeoutMs, async () => connection.resolve(requestId, term, ABANDONED_EXCHANGE_TIMEOUT_MS)),
		read: async (read, timeoutMs) => run('read', timeoutMs, async () => connection.read(read, ABANDONED_EXCHANGE_TIMEOUT_MS)),
		destroy() {
			if (lateAnswers.size === 0) {
				connection.destroy();
			}
		},
	};
}
