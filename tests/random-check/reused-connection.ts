import type {EndpointConnection} from '../../src/endpoints/endpoint.js';
import {throwNoAnswer} from '../../src/endpoints/endpoint-errors.js';
import type {Clock} from '../../src/time/clock.js';
import {withinMs} from '../../src/time/deadline.js';

/** How long an exchange that nobody waits for any more goes on, in milliseconds. */
const GOES_ON_MS = 60_000;

/**
 * A connection that is lent again although an exchange on it brought no answer in time.
 *
 * As on a wire, answers come in order: the late one is taken for the answer to the next question of its kind.
 */
export function createReusedConnection(connection: EndpointConnection, address: string, clock: Clock): EndpointConnection {
	const late = new Map<string, Promise<unknown>>();

	const run = async <T>(kind: string, timeoutMs: number, exchange: () => Promise<T>): Promise<T> => {
		const owed = late.get(kind) as Promise<T> | undefined;
		const answer = owed ?? exchange();
		const bounded = await withinMs(clock, timeoutMs, answer);
		if (bounded.timedOut) {
			late.set(kind, answer);
			return throwNoAnswer(address, kind);
		}

		late.delete(kind);
		return bounded.value;
	};

	return {
		...connection,
		get usable() {
			return connection.usable;
		},
		write: async (write, timeoutMs) => run('write', timeoutMs, async () => connection.write(write, GOES_ON_MS)),
		resolve: async (requestId, term, timeoutMs) => run('resolve', timeoutMs, async () => connection.resolve(requestId, term, GOES_ON_MS)),
		read: async (read, timeoutMs) => run('read', timeoutMs, async () => connection.read(read, GOES_ON_MS)),
		destroy() {
			if (late.size === 0) {
				connection.destroy();
			}
		},
	};
}
