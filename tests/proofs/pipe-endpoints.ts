import type {Endpoint, EndpointConnection, Endpoints} from '../../src/endpoints/endpoint.js';
import {createExchangeRunner} from '../../src/endpoints/exchange-runner.js';
import type {Clock} from '../../src/time/clock.js';

/** Time for which an exchange goes on below, whatever its user waits for, in milliseconds. */
const BELOW_MS = 600_000;

/** The pipes of a system. */
export type Pipes = {
	wrap(endpoints: Endpoints, clock: Clock): Endpoints;
	/** Holds the next answer to a read, a write or a transaction's statement up for `ms` milliseconds. */
	holdNext(ms: number): void;
	/** How long to hold the answer at hand, in milliseconds. */
	takeHold(): number;
};

/**
 * Makes every connection a plain pipe: answers carry no name, so each goes to whoever reads next.
 * An answer that comes after its user gave up waits there for the connection's next user.
 */
export function createPipes(): Pipes {
	let holdMs = 0;

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
		holdNext(ms) {
			holdMs = ms;
		},
		takeHold() {
			const taken = holdMs;
			holdMs = 0;
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

	const askHeld = async <T>(ask: () => Promise<T>) => {
		const holdMs = pipes.takeHold();
		const answer = await ask();
		await clock.sleep(holdMs);
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
		status: async ms => pass(ms, async () => inner.status(BELOW_MS)),
		waitFor: async (position, waitMs, ms) => pass(ms, async () => inner.waitFor(position, waitMs, BELOW_MS)),
		fence: async (term, ms) => pass(ms, async () => inner.fence(term, BELOW_MS)),
		promote: async (term, ms) => pass(ms, async () => inner.promote(term, BELOW_MS)),
		follow: async (term, primary, ms) => pass(ms, async () => inner.follow(term, primary, BELOW_MS)),
		write: async (write, ms) => pass(ms, async () => askHeld(async () => inner.write(write, BELOW_MS))),
		resolve: async (requestId, term, ms) => pass(ms, async () => inner.resolve(requestId, term, BELOW_MS)),
		read: async (read, ms) => pass(ms, async () => askHeld(async () => inner.read(read, BELOW_MS))),
		begin: async (transaction, ms) => pass(ms, async () => inner.begin(transaction, BELOW_MS)),
		run: async (statement, values, ms) => pass(ms, async () => askHeld(async () => inner.run(statement, values, BELOW_MS))),
		commit: async ms => pass(ms, async () => inner.commit(BELOW_MS)),
		rollback: async ms => pass(ms, async () => inner.rollback(BELOW_MS)),
		close: async () => inner.close(),
		destroy() {
			runner.end('destroyed');
		},
	};
}
