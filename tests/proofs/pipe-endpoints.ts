import type {Endpoint, EndpointConnection, Endpoints} from '../../src/endpoints/endpoint.js';
import {createExchangeRunner} from '../../src/endpoints/exchange-runner.js';
import type {Clock} from '../../src/time/clock.js';

/** Timeout of an exchange on the underlying connection, whatever its user's timeout, in milliseconds. */
const UNDERLYING_TIMEOUT_MS = 600_000;

/** Wraps the endpoints of a system in pipes. */
export type Pipes = {
	wrap(endpoints: Endpoints, clock: Clock): Endpoints;
	/** Delays the next answer to a read, a write or a transaction's statement by `ms` milliseconds. */
	delayNextAnswer(ms: number): void;
	/** Returns the delay of the current answer, in milliseconds, and resets it. */
	takeDelayMs(): number;
};

/**
 * Turns every connection into a plain pipe: answers have no id, so each goes to the next reader.
 * An answer that arrives after its user gave up is delivered to the connection's next user.
 */
export function createPipes(): Pipes {
	let delayMs = 0;

	const pipes: Pipes = {
		wrap: (endpoints, clock) => ({
			getEndpoint(address): Endpoint {
				const inner = endpoints.getEndpoint(address);
				return {
					address,
					connect: async timeoutMs => createPipeConnection(pipes, address, await inner.connect(timeoutMs), clock),
				};
			},
		}),
		delayNextAnswer(ms) {
			delayMs = ms;
		},
		takeDelayMs() {
			const taken = delayMs;
			delayMs = 0;
			return taken;
		},
	};
	return pipes;
}

function createPipeConnection(pipes: Pipes, address: string, inner: EndpointConnection, clock: Clock): EndpointConnection {
	const unread: unknown[] = [];
	let reader: ((answer: unknown) => void) | undefined;

	const runner = createExchangeRunner({
		address,
		clock,
		onEnd() {
			inner.destroy();
		},
	});

	const deliver = (answer: unknown) => {
		if (reader) {
			reader(answer);
			reader = undefined;
		} else {
			unread.push(answer);
		}
	};

	const readNext = async (timeoutMs: number) => {
		if (unread.length > 0) {
			return unread.shift();
		}

		return new Promise(resolve => {
			reader = resolve;
			void clock.sleep(timeoutMs).then(() => {
				reader = reader === resolve ? undefined : reader;
			});
		});
	};

	const askDelayed = async <T>(ask: () => Promise<T>) => {
		const delayMs = pipes.takeDelayMs();
		const answer = await ask();
		await clock.sleep(delayMs);
		return answer;
	};

	const pass = async <T>(timeoutMs: number, ask: () => Promise<T>) => runner.run('an exchange', timeoutMs, async () => {
		ask().then(deliver, (err: unknown) => {
			runner.end(err);
		});
		return await readNext(timeoutMs) as T;
	});

	return {
		get usable() {
			return runner.usable && inner.usable;
		},
		status: async ms => pass(ms, async () => inner.status(UNDERLYING_TIMEOUT_MS)),
		waitFor: async (position, waitMs, ms) => pass(ms, async () => inner.waitFor(position, waitMs, UNDERLYING_TIMEOUT_MS)),
		fence: async (term, ms) => pass(ms, async () => inner.fence(term, UNDERLYING_TIMEOUT_MS)),
		promote: async (term, ms) => pass(ms, async () => inner.promote(term, UNDERLYING_TIMEOUT_MS)),
		follow: async (term, primary, ms) => pass(ms, async () => inner.follow(term, primary, UNDERLYING_TIMEOUT_MS)),
		write: async (write, ms) => pass(ms, async () => askDelayed(async () => inner.write(write, UNDERLYING_TIMEOUT_MS))),
		resolve: async (requestId, term, ms) => pass(ms, async () => inner.resolve(requestId, term, UNDERLYING_TIMEOUT_MS)),
		read: async (read, ms) => pass(ms, async () => askDelayed(async () => inner.read(read, UNDERLYING_TIMEOUT_MS))),
		begin: async (transaction, ms) => pass(ms, async () => inner.begin(transaction, UNDERLYING_TIMEOUT_MS)),
		run: async (statement, values, ms) => pass(ms, async () => askDelayed(async () => inner.run(statement, values, UNDERLYING_TIMEOUT_MS))),
		commit: async ms => pass(ms, async () => inner.commit(UNDERLYING_TIMEOUT_MS)),
		rollback: async ms => pass(ms, async () => inner.rollback(UNDERLYING_TIMEOUT_MS)),
		close: async () => inner.close(),
		destroy() {
			runner.end('destroyed');
		},
	};
}
