import type {EndpointConfig} from '../groups/group-config.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';

/** One server's answer. */
export type Gathered<T> = {
	readonly endpoint: EndpointConfig;
	readonly answer: T;
};

/** What {@link gatherAnswers} needs. */
export type GatherOptions<T> = {
	readonly clock: Clock;
	readonly endpoints: readonly EndpointConfig[];
	/** Asks one server; a rejection counts as no answer. */
	ask(endpoint: EndpointConfig): Promise<T>;
	/** Tells whether what was answered so far suffices; then stragglers alone are awaited. */
	isEnough(answers: ReadonlyArray<Gathered<T>>): boolean;
	/** How long stragglers are awaited, in milliseconds. */
	readonly stragglerMs: number;
	/** Bound on the whole, in milliseconds. */
	readonly boundMs: number;
};

/** Asks all servers at once and returns what was answered in time, without waiting for servers that are lost. */
export async function gatherAnswers<T>(options: GatherOptions<T>): Promise<ReadonlyArray<Gathered<T>>> {
	const answers: Array<Gathered<T>> = [];
	let reachEnough: () => void;
	const enoughReached = new Promise<void>(resolve => {
		reachEnough = resolve;
	});

	const askOne = async (endpoint: EndpointConfig) => {
		try {
			answers.push({endpoint, answer: await options.ask(endpoint)});
		} catch {
			return;
		}

		if (options.isEnough(answers)) {
			reachEnough();
		}
	};

	const awaitStragglers = async () => {
		await enoughReached;
		await options.clock.sleep(options.stragglerMs);
	};

	const all = Promise.all(options.endpoints.map(async endpoint => askOne(endpoint)));
	await withinMs(options.clock, options.boundMs, Promise.race([all, awaitStragglers()]));
	return [...answers];
}
