import {Outcome, type CallerResponse} from '../callers/caller-response.js';
import {RequestKind, type CallerRequest} from '../callers/caller-request.js';
import {createRequestId} from '../random/request-id.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';
import type {Demo} from './demo.js';

/** A request as a caller of the demo writes it; members that are left out have the defaults of docs/CALLERS.md. */
export type DemoRequest = Pick<CallerRequest, 'kind' | 'statement'> & Partial<CallerRequest>;

/** A caller with one session, whose token it returns with each request. */
export type DemoCaller = {
	/** Sends a request to one proxy, once. Rejects with {@link ConnectionLostError} where no answer arrived. */
	ask(proxy: LocalProxy, req: DemoRequest): Promise<CallerResponse>;
	/** Sends a request through the balancer until an answer arrives, and queries the outcome of a write where the answer leaves it unknown. */
	send(req: DemoRequest): Promise<SentAnswer>;
	/** Queries the outcome of a write that is unknown; undefined where no proxy knows it either. */
	queryOutcome(requestId: string): Promise<OutcomeAnswer | undefined>;
};

/** The outcome of a request, and the host that reported it. */
export type OutcomeAnswer = Pick<SentAnswer, 'answer' | 'host'>;

/** An answer, with the host that gave it and the connections that broke before. */
export type SentAnswer = {
	readonly answer: CallerResponse;
	/** Host that answered. */
	readonly host: string;
	/** Number of connections that broke after the request had been sent. */
	readonly brokenConnections: number;
};

/** Options of a caller. */
export type DemoCallerOptions = Pick<Demo, 'clock' | 'random' | 'balancer'> & {
	readonly group: string;
};

/** A connection that ended before the complete answer was received. */
export class ConnectionLostError extends Error {
	override readonly name = 'ConnectionLostError';

	constructor(
		message: string,
		/** False where the connection was refused, so nothing was sent. */
		readonly sent: boolean,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

/** Session token of a session that has not written anything yet. */
const NEW_SESSION = 'new';

/** Maximum number of times that a caller sends a request, or queries an outcome. */
const MAX_ATTEMPTS = 12;

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

	/** Resolves without an answer where none arrived. Removes a proxy that refuses connections from the balancer, as the balancer's health checks would. */
	const exchangeWithNext = async (exchangeAt: (proxy: LocalProxy) => Promise<CallerResponse>) => {
		const proxy = balancer.next();
		try {
			return {answer: await exchangeAt(proxy), host: proxy.host.name, sent: true};
		} catch (err) {
			if (!(err instanceof ConnectionLostError)) {
				throw err;
			}

			if (!err.sent) {
				balancer.remove(proxy.host.name);
			}

			return {answer: undefined, host: proxy.host.name, sent: err.sent};
		}
	};

	const queryOutcome = async (requestId: string): Promise<OutcomeAnswer | undefined> => {
		for (let tries = 1; tries <= MAX_ATTEMPTS; tries++) {
			const {answer, host} = await exchangeWithNext(async proxy => exchange(`${proxy.callerUrl}/v1/groups/${group}/requests/${requestId}/outcome`, {}));
			if (answer && answer.outcome !== Outcome.Unknown) {
				return {answer, host};
			}

			await clock.sleep(PAUSE_MS);
		}

		return undefined;
	};

	return {
		ask,
		queryOutcome,
		async send(req) {
			const requestId = createRequestId(clock.wall(), random);
			const submit = async (attempt: number) => exchangeWithNext(async proxy => ask(proxy, {...req, requestId, attempt}));
			let brokenConnections = 0;
			for (let tries = 1; tries <= MAX_ATTEMPTS; tries++) {
				const {answer, host, sent} = await submit(brokenConnections + 1);
				if (answer && answer.refusal?.code !== RefusalCode.HostLeaving) {
					const end: SentAnswer = {answer, host, brokenConnections};
					const isUnknown = answer.outcome === Outcome.Unknown && req.kind === RequestKind.Write;
					return isUnknown ? {...end, ...await queryOutcome(requestId)} : end;
				}

				if (answer) {
					balancer.remove(host);
					continue;
				}

				brokenConnections += sent ? 1 : 0;
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
