import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {promisify} from 'node:util';
import {gzip} from 'node:zlib';
import fastify, {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import * as z from 'zod';
import {ObjectKind} from '../../object-store/platform.js';
import {PlatformConflictError, PlatformError, PlatformRefusedError} from '../../object-store/platform-errors.js';
import {platformHostsSchema} from '../../object-store/platform-schemas.js';
import {MAX_VALUE_BYTES, type ObjectStore} from './object-store.js';
import {CallEffect, platformFaultsSchema, type FaultInjector} from './platform-faults.js';

/** Options of {@link createPlatformServer}. */
export type PlatformServerOptions = {
	readonly store: ObjectStore;
	readonly faultInjector: FaultInjector;
};

/** The 65536 bytes above the largest value are for names, versions and escape sequences. */
const MAX_BODY_BYTES = MAX_VALUE_BYTES + 65_536;
const MAX_NAME_LENGTH = 512;
/** Size in bytes from which a response is compressed if the client accepts it. */
const MIN_COMPRESSED_BYTES = 2048;
const MAX_WAIT_MS = 60_000;

const kindPath = z.object({kind: z.enum(ObjectKind)});
const objectPath = kindPath.extend({name: z.string().min(1).max(MAX_NAME_LENGTH)});
const listQuery = z.strictObject({prefix: z.string().default('')});
const putBody = z.strictObject({value: z.unknown(), expectedVersion: z.int().min(0)});
const deleteQuery = z.strictObject({expectedVersion: z.coerce.number().int().min(1)});
const watchQuery = z.strictObject({
	revision: z.coerce.number().int().min(0),
	waitMs: z.coerce.number().min(0).max(MAX_WAIT_MS),
});
const faultsBody = platformFaultsSchema.partial();
const hostsBody = z.strictObject({hosts: platformHostsSchema.optional(), lagMs: z.number().min(0).optional()});

const compress = promisify(gzip);

/** Creates the HTTP server of a store, with control routes below `/control`. The caller starts listening and closes it. */
export function createPlatformServer({store, faultInjector: injector}: PlatformServerOptions): FastifyInstance {
	const app = fastify({bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true, routerOptions: {maxParamLength: MAX_NAME_LENGTH * 3}});
	app.setErrorHandler(sendError);
	app.addHook('onSend', compressResponse);
	addObjectRoutes(app, store, injector);
	addWatchRoute(app, store, injector);
	addHostsRoute(app, store, injector);
	addControlRoutes(app, store, injector);
	return app;
}

function addObjectRoutes(app: FastifyInstance, store: ObjectStore, injector: FaultInjector) {
	app.get('/v1/objects/:kind/:name', async (req, res) => {
		const {kind, name} = objectPath.parse(req.params);
		const object = await injector.runWithFaults(CallEffect.Read, () => store.get(kind, name));
		return object ?? res.code(404).send({error: 'object-missing', message: `there is no ${kind} ${name}`});
	});
	app.get('/v1/objects/:kind', async req => {
		const {kind} = kindPath.parse(req.params);
		const {prefix} = listQuery.parse(req.query);
		return injector.runWithFaults(CallEffect.Read, () => store.list(kind, prefix));
	});
	app.put('/v1/objects/:kind/:name', async req => {
		const {kind, name} = objectPath.parse(req.params);
		const {value, expectedVersion} = putBody.parse(req.body);
		return injector.runWithFaults(CallEffect.Change, () => store.put({
			kind, name, value, expectedVersion,
		}));
	});
	app.delete('/v1/objects/:kind/:name', async (req, res) => {
		const {kind, name} = objectPath.parse(req.params);
		const {expectedVersion} = deleteQuery.parse(req.query);
		await injector.runWithFaults(CallEffect.Change, () => {
			store.delete(kind, name, expectedVersion);
		});
		return res.code(204).send();
	});
}

function addWatchRoute(app: FastifyInstance, store: ObjectStore, injector: FaultInjector) {
	app.get('/v1/watches/:kind', async (req, res) => {
		const {kind} = kindPath.parse(req.params);
		const {revision, waitMs} = watchQuery.parse(req.query);
		const closed = new AbortController();
		res.raw.once('close', () => {
			closed.abort();
		});
		return injector.runWithFaults(CallEffect.Watch, async () => store.watch(kind, revision, waitMs, closed.signal));
	});
}

function addHostsRoute(app: FastifyInstance, store: ObjectStore, injector: FaultInjector) {
	app.get('/v1/hosts', async (req, res) => {
		const hosts = await injector.runWithFaults(CallEffect.Read, () => store.hosts());
		const text = JSON.stringify(hosts);
		const etag = `"${createHash('sha1').update(text).digest('base64url')}"`;
		void res.header('etag', etag);
		return req.headers['if-none-match'] === etag ? res.code(304).send() : res.type('application/json').send(text);
	});
}

/** Adds the routes by which a demo or a benchmark changes faults and hosts while the process runs. No fault affects these routes. */
function addControlRoutes(app: FastifyInstance, store: ObjectStore, injector: FaultInjector) {
	app.get('/control', async () => ({
		faults: injector.faults, calls: store.calls, waitingWatches: store.waitingWatches, revision: store.revision,
	}));
	app.put('/control/faults', async req => Object.assign(injector.faults, faultsBody.parse(req.body)));
	app.post('/control/silence-open-watches', async () => {
		injector.silenceOpenWatches();
		return {};
	});
	app.put('/control/hosts', async req => {
		const {hosts, lagMs} = hostsBody.parse(req.body);
		store.hostLagMs = lagMs ?? store.hostLagMs;
		if (hosts) {
			store.setHosts(hosts);
		}

		return {};
	});
}

async function sendError(err: Error & {statusCode?: number}, _req: FastifyRequest, res: FastifyReply) {
	const {status, error} = getErrorStatus(err);
	const message = err instanceof z.ZodError ? z.prettifyError(err) : err.message;
	return res.code(status).send({error, message});
}

function getErrorStatus(err: Error & {statusCode?: number}) {
	if (err instanceof z.ZodError) {
		return {status: 400, error: 'malformed'};
	}

	if (err instanceof PlatformConflictError) {
		return {status: 409, error: 'conflict'};
	}

	if (err instanceof PlatformRefusedError) {
		return {status: 413, error: 'too-large'};
	}

	if (err instanceof PlatformError) {
		return {status: 503, error: 'outage'};
	}

	return {status: err.statusCode ?? 500, error: 'failed'};
}

async function compressResponse(req: FastifyRequest, res: FastifyReply, payload: unknown) {
	const accepted = req.headers['accept-encoding']?.includes('gzip') ?? false;
	if (!accepted || typeof payload !== 'string' || Buffer.byteLength(payload) < MIN_COMPRESSED_BYTES) {
		return payload;
	}

	void res.header('content-encoding', 'gzip').removeHeader('content-length');
	return compress(payload);
}
