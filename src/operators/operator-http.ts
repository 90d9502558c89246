import type {AddressInfo} from 'node:net';
import {fastify, type FastifyInstance, type FastifyReply} from 'fastify';
import * as z from 'zod';
import type {Log} from '../log/log.js';
import type {Metrics} from '../metrics/metrics.js';
import type {OperatorAccess} from './operator-access.js';
import {CommandStatus, type CommandAnswer, type OperatorCommands} from './operator-commands.js';
import type {Operators} from './operators.js';

/** Maximum length of a command, in characters. */
export const MAX_COMMAND_LENGTH = 10_000;

/** Maximum size of a request body, in bytes: enough for the longest command with every character escaped. */
const MAX_BODY_BYTES = 131_072;

/** How long an operator's client may take to send a request, in milliseconds. */
const REQUEST_ARRIVAL_MS = 10_000;

const STATUS_UNAUTHORIZED = 401;

const HTTP_STATUS: Readonly<Record<CommandStatus, number>> = {
	[CommandStatus.Ok]: 200,
	[CommandStatus.Refused]: 409,
	[CommandStatus.Malformed]: 400,
};

/** Validates the request body of a command. */
const commandSchema = z.strictObject({
	command: z.string().min(1).max(MAX_COMMAND_LENGTH),
	changeId: z.uuidv7('expected a UUIDv7').optional(),
});

/** Whether the load balancer may send callers to this host. */
export type Readiness = {readonly ready: true} | {readonly ready: false; readonly reason: string};

/** Options of {@link createOperatorHttp}. The `get…` functions return services that may be registered after the operator port. */
export type OperatorHttpOptions = {
	readonly log: Log;
	readonly metrics: Metrics;
	/** IP number to listen on. */
	readonly address: string;
	/** Port to listen on; 0 takes any. */
	readonly port: number;
	readonly getReadiness: () => Readiness;
	readonly getAccess: () => OperatorAccess;
	readonly getCommands: () => OperatorCommands;
};

/** Creates the operator port: commands, metrics, and the load balancer's health checks. */
export function createOperatorHttp(options: OperatorHttpOptions): Operators {
	const app = fastify({
		bodyLimit: MAX_BODY_BYTES,
		requestTimeout: REQUEST_ARRIVAL_MS,
		return503OnClosing: false,
		forceCloseConnections: true,
	});
	addChecks(app, options);
	addCommands(app, options);

	app.setNotFoundHandler(async (req, reply) => answerCommand(reply, 404, malformed(`${req.method} ${req.url.split('?')[0]}: no such route`)));
	app.setErrorHandler(async (err, _req, reply) => {
		const {statusCode = 500, message} = err as {statusCode?: number; message: string};
		if (statusCode < 500) {
			return answerCommand(reply, statusCode, malformed(message));
		}

		// The body is not a CommandAnswer: a change may have taken effect, so the client sends it again with its change id.
		options.log.error('the operator port failed', {err});
		void reply.code(500);
		return {error: 'this host failed; send the command again with the same changeId'};
	});

	return {
		async start() {
			await app.listen({host: options.address, port: options.port});
		},
		async stop() {
			await app.close();
		},
		get port() {
			return (app.server.address() as AddressInfo).port;
		},
	};
}

function addChecks(app: FastifyInstance, {metrics, getReadiness}: OperatorHttpOptions): void {
	app.get('/live', async () => ({live: true}));

	app.get('/ready', async (_req, reply) => {
		const readiness = getReadiness();
		void reply.code(readiness.ready ? 200 : 503);
		return readiness;
	});

	app.get('/metrics', async (_req, reply) => {
		void reply.header('content-type', metrics.contentType);
		return metrics.render();
	});
}

function addCommands(app: FastifyInstance, {getAccess, getCommands}: OperatorHttpOptions): void {
	app.post('/v1/commands', async (req, reply) => {
		const who = getAccess().identify(getBearerToken(req.headers.authorization));
		if (!who) {
			void reply.header('www-authenticate', 'Bearer');
			return answerCommand(reply, STATUS_UNAUTHORIZED, refused('no operator has this token'));
		}

		const body = commandSchema.safeParse(req.body);
		if (!body.success) {
			const [issue] = body.error.issues;
			return answerCommand(reply, 400, malformed(`body ${issue!.path.join('.')}: ${issue!.message}`));
		}

		const answer = await getCommands().run(body.data.command, who, body.data.changeId);
		return answerCommand(reply, HTTP_STATUS[answer.status], answer);
	});
}

function answerCommand(reply: FastifyReply, status: number, answer: CommandAnswer): CommandAnswer {
	void reply.code(status);
	return answer;
}

function malformed(text: string): CommandAnswer {
	return {status: CommandStatus.Malformed, text, data: null};
}

function refused(text: string): CommandAnswer {
	return {status: CommandStatus.Refused, text, data: null};
}

function getBearerToken(authorization: string | undefined): string | undefined {
	return /^Bearer +(?<token>\S+)$/iv.exec(authorization ?? '')?.groups?.token;
}
