import type {EndpointConfig} from '../groups/group-config.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';

/** One server's answer. */
export type Gathered<T> = {
	readonly endpoint: EndpointConfig;
	readonly answer: T;
};

/** Options of {@link gatherAnswers}. */
export type GatherOptions<T> = {
	readonly clock: Clock;
	readonly endpoints: readonly EndpointConfig[];
	/** Asks one server; a rejection counts as no answer. */
	ask(endpoint: EndpointConfig): Promise<T>;
	/** Returns whether the answers so far suffice; from then on only stragglers are awaited. */
	isEnough(answers: ReadonlyArray<Gathered<T>>): boolean;
	/** How long further answers are awaited once there are enough, in milliseconds. */
	readonly stragglerMs: number;
	/** Timeout of the whole, in milliseconds. */
	readonly boundMs: number;
};

/** Asks all servers concurrently and resolves with the answers that came in time, without waiting for unreachable servers. */
export async function gatherAnswers<T>(options: GatherOptions<T>): Promise<ReadonlyArray<Gathered<T>>> {
	const answers: Array<Gathered<T>> = [];
	let resolveEnough: () => void;
	const enough = new Promise<void>(resolve => {
		resolveEnough = resolve;
	});

	const askOne = async (endpoint: EndpointConfig) => {
		try {
			answers.push({endpoint, answer: await options.ask(endpoint)});
		} catch {
			return;
		}

		if (options.isEnough(answers)) {
			resolveEnough();
		}
	};

	const awaitStragglers = async () => {
		await enough;
		await options.clock.sleep(options.stragglerMs);
	};

	const all = Promise.all(options.endpoints.map(async endpoint => askOne(endpoint)));
	await withinMs(options.clock, options.boundMs, Promise.race([all, awaitStragglers()]));
	return [...answers];
}
