import {Outcome, type CallerResponse} from '../callers/caller-response.js';
import {RequestKind, type CallerRequest} from '../callers/caller-request.js';
import {createRequestId} from '../random/request-id.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';
import type {Demo} from './demo.js';

/** A request as a demo's caller writes it; what is left out has the default of docs/CALLERS.md. */
export type DemoRequest = Pick<CallerRequest, 'kind' | 'statement'> & Partial<CallerRequest>;

/** A caller with one session: it echoes its token and sends one request at a time. */
export type DemoCaller = {
	/** Sends a request to one proxy, once. Rejects with {@link ConnectionLostError} where no answer came. */
	ask(proxy: LocalProxy, req: DemoRequest): Promise<CallerResponse>;
	/** Sends a request through the balancer until an answer comes; asks for the outcome where it was left unsure. */
	send(req: DemoRequest): Promise<SentAnswer>;
	/** Asks what became of a write that was left unsure; undefined where nobody could tell. */
	askOutcome(requestId: string): Promise<OutcomeAnswer | undefined>;
};

/** What became of a request, and which host told. */
export type OutcomeAnswer = Pick<SentAnswer, 'answer' | 'host'>;

/** An answer with what it took to get it. */
export type SentAnswer = {
	readonly answer: CallerResponse;
	/** Host whose answer it is. */
	readonly host: string;
	/** How often a connection broke after the request had been sent. */
	readonly cuts: number;
};

/** What a caller is made from. */
export type DemoCallerOptions = Pick<Demo, 'clock' | 'random' | 'balancer'> & {
	readonly group: string;
};

/** A connection that ended before the answer was whole. */
export class ConnectionLostError extends Error {
	override readonly name = 'ConnectionLostError';

	constructor(
		message: string,
		/** False where the connection was refused, so that nothing was sent. */
		readonly sent: boolean,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

/** The word for a session that has written nothing yet. */
const NEW_SESSION = 'new';

/** Times that a caller sends one request, or asks for one outcome, before it gives up. */
const MOST_TRIES = 12;

/** Pause before a caller sends the same request again, in milliseconds. */
const PAUSE_MS = 100;

/** Creates a caller of one group. */
export function createCaller(options: DemoCallerOptions): DemoCaller {
	const {clock, random, balancer, group} = options;
	let token = NEW_SESSION;

	const exchange = async (url: string, init: RequestInit): Promise<CallerResponse> => {
		let answer: CallerResponse;
		try {
			const res = await fetch(url, {...init, headers: {'content-type': 'application/json', 'aldercroft-session': token}});
			answer = await res.json() as CallerResponse;
		} catch (err) {
			throw new ConnectionLostError(`no answer from ${url}`, !isRefused(err), {cause: err});
		}

		token = answer.session ?? token;
		return answer;
	};

	const ask = async (proxy: LocalProxy, req: DemoRequest) => exchange(
		`${proxy.callerUrl}/v1/groups/${group}/requests`,
		{method: 'POST', body: JSON.stringify(req)},
	);

	/** Undefined where no answer came; a proxy that refuses connections leaves the balancer, as its checks would do. */
	const tryAt = async (exchangeAt: (proxy: LocalProxy) => Promise<CallerResponse>) => {
		const proxy = balancer.next();
		try {
			return {answer: await exchangeAt(proxy), host: proxy.host.name, sent: true};
		} catch (err) {
			if (!(err instanceof ConnectionLostError)) {
				throw err;
			}

			if (!err.sent) {
				balancer.takeOut(proxy.host.name);
			}

			return {answer: undefined, host: proxy.host.name, sent: err.sent};
		}
	};

	const askOutcome = async (requestId: string): Promise<OutcomeAnswer | undefined> => {
		for (let tries = 1; tries <= MOST_TRIES; tries++) {
			const {answer, host} = await tryAt(async proxy => exchange(`${proxy.callerUrl}/v1/groups/${group}/requests/${requestId}/outcome`, {}));
			if (answer && answer.outcome !== Outcome.Unknown) {
				return {answer, host};
			}

			await clock.sleep(PAUSE_MS);
		}

		return undefined;
	};

	return {
		ask,
		askOutcome,
		async send(req) {
			const requestId = createRequestId(clock.wall(), random);
			const submit = async (attempt: number) => tryAt(async proxy => ask(proxy, {...req, requestId, attempt}));
			let cuts = 0;
			for (let tries = 1; tries <= MOST_TRIES; tries++) {
				const {answer, host, sent} = await submit(cuts + 1);
				if (answer && answer.refusal?.code !== RefusalCode.HostLeaving) {
					const end: SentAnswer = {answer, host, cuts};
					const isUnsure = answer.outcome === Outcome.Unknown && req.kind === RequestKind.Write;
					return isUnsure ? {...end, ...await askOutcome(requestId)} : end;
				}

				if (answer) {
					balancer.takeOut(host);
					continue;
				}

				cuts += sent ? 1 : 0;
				await clock.sleep(PAUSE_MS);
			}

			throw new Error(`no proxy answered request ${requestId}`);
		},
	};
}

function isRefused(err: unknown): boolean {
	const {code} = ((err as Error).cause ?? {}) as {code?: string};
	return code === 'ECONNREFUSED';
}
