import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import type {Clock} from '../time/clock.js';
import {CallerOperation} from '../metrics/metrics.js';
import type {Random} from '../random/random.js';
import {createRequestId, getRequestIdTime} from '../random/request-id.js';
import {MAX_TOKEN_LENGTH} from '../sessions/signed-sessions.js';
import {checkBeginRequest, checkCallerRequest, checkEmptyBody} from './caller-body.js';
import {throwBadSessionHeader, throwMalformed} from './caller-errors.js';
import type {Entry} from './entry.js';
import {SESSION_HEADER, type HttpResponses} from './http-responses.js';
import type {RequestSummary} from './http-refusals.js';
import {mayBeRepeat} from './possible-repeat.js';

/** Options of {@link addHttpRoutes}. */
export type HttpRoutesOptions = {
	readonly entry: Entry;
	readonly responses: HttpResponses;
	readonly clock: Clock;
	readonly random: Random;
};

type GroupRoute = {group: string};
type TransactionRoute = {transactionId: string};
type OutcomeRoute = {group: string; requestId: string};

/** Maximum number of tokens in one session header. */
const MAX_TOKENS = 8;

const OTHER_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS'] as const;

/** Adds the callers' routes; docs/CALLERS.md describes them. */
export function addHttpRoutes(app: FastifyInstance, options: HttpRoutesOptions): void {
	const {entry, responses, clock, random} = options;

	// An id that is created here rather than in the entry lets every response, also one to a fault, state the id that ran.
	const withRequestId = <T extends {requestId?: string}>(body: T) => ({
		...body,
		requestId: body.requestId ?? createRequestId(clock.wall(), random),
	});

	const addRoute = <Route>(method: 'GET' | 'POST', url: string, handler: (req: FastifyRequest<{Params: Route}>, reply: FastifyReply) => Promise<string>) => {
		app.route<{Params: Route}>({method, url, handler});
		app.route({
			method: OTHER_METHODS.filter(other => other !== method),
			url,
			async handler(req, reply) {
				void reply.header('allow', method);
				throwMalformed(`method ${req.method}: this route takes ${method}`, 405);
			},
		});
	};

	addRoute<GroupRoute>('POST', '/v1/groups/:group/requests', async (req, reply) => {
		const {group} = req.params;
		const body = withRequestId(checkCallerRequest(req.body));
		const session = getSessionToken(req);
		const {requestId, class: workClass, kind: asked, attempt} = body;
		return responses.serve(reply, {
			asked, group, requestId, class: workClass, mayBeRepeat: mayBeRepeat({asked, requestId, attempt}, clock.wall()),
		}, async () => entry.execute(group, body, session));
	});

	addRoute<GroupRoute>('POST', '/v1/groups/:group/transactions', async (req, reply) => {
		const {group} = req.params;
		const body = withRequestId(checkBeginRequest(req.body));
		const session = getSessionToken(req);
		const {requestId, class: workClass} = body;
		const asked = CallerOperation.Begin;
		return responses.serve(reply, {
			asked, group, requestId, class: workClass, mayBeRepeat: mayBeRepeat({asked, requestId}, clock.wall()),
		}, async () => entry.begin(group, body, session));
	});

	addRoute<TransactionRoute>('POST', '/v1/transactions/:transactionId/requests', async (req, reply) => {
		const {transactionId} = req.params;
		const body = checkCallerRequest(req.body);
		const session = getSessionToken(req);
		return responses.serve(reply, {
			asked: body.kind, requestId: transactionId, class: body.class, isContinuation: true,
		}, async () => entry.run(transactionId, body, session));
	});

	addRoute<TransactionRoute>('POST', '/v1/transactions/:transactionId/commit', async (req, reply) => {
		const {transactionId} = req.params;
		checkEmptyBody(req.body);
		const session = getSessionToken(req);
		// A commit has no key of its own that shows whether it was sent before.
		return responses.serve(reply, {
			asked: CallerOperation.Commit, requestId: transactionId, mayBeRepeat: true, isContinuation: true,
		}, async () => entry.commit(transactionId, session));
	});

	addRoute<TransactionRoute>('POST', '/v1/transactions/:transactionId/rollback', async (req, reply) => {
		const {transactionId} = req.params;
		checkEmptyBody(req.body);
		const session = getSessionToken(req);
		return responses.serve(reply, {
			asked: CallerOperation.Rollback, requestId: transactionId, isContinuation: true,
		}, async () => entry.rollback(transactionId, session));
	});

	addRoute<OutcomeRoute>('GET', '/v1/groups/:group/requests/:requestId/outcome', async (req, reply) => {
		const {group, requestId} = req.params;
		if (getRequestIdTime(requestId) === undefined) {
			throwMalformed('requestId: expected a UUIDv7');
		}

		const session = getSessionToken(req);
		return responses.serve(reply, {asked: CallerOperation.Outcome, group, requestId}, async () => entry.resolveOutcome(group, requestId, session));
	});
}

/**
 * Returns what is known of a request that no handler received.
 *
 * An invalid body may repeat the id of a request that ran, so the response, `not-run`, states a new id.
 */
export function summarizeRequest(req: FastifyRequest): RequestSummary {
	const {group, requestId} = (req.params ?? {}) as Partial<OutcomeRoute>;
	return requestId === undefined ? {asked: 'unclear', group} : {asked: CallerOperation.Outcome, group, requestId};
}

function getSessionToken(req: FastifyRequest): string | undefined {
	const token = req.headers[SESSION_HEADER];
	if (token === undefined || token === '') {
		return undefined;
	}

	// Tokens from concurrent requests are separated by commas, as is a header that is sent twice; the entry merges them.
	const tokens = typeof token === 'string' ? token.split(',').map(part => part.trim()) : [];
	const isOne = (part: string) => part.length <= MAX_TOKEN_LENGTH && /^[\w\-]+$/v.test(part);
	if (typeof token !== 'string' || tokens.length > MAX_TOKENS || !tokens.every(part => isOne(part))) {
		throwBadSessionHeader('not a token that this service made; send it as it came, or none');
	}

	return token;
}
