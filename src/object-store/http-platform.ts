import * as z from 'zod';
import type {Service} from '../kernel/service.js';
import type {Clock} from '../time/clock.js';
import {createHttpClient, type HttpResponse, type HttpRequest} from './http-client.js';
import type {Platform, PlatformHost} from './platform.js';
import {throwPlatformRefused, throwPlatformSilent, throwVersionConflict} from './platform-errors.js';
import {platformHostsSchema, platformListSchema, platformObjectSchema} from './platform-schemas.js';

/** Options of {@link createHttpPlatform}. */
export type HttpPlatformOptions = {
	/** `http://ip:port` of the platform's API. */
	readonly baseUrl: string;
	readonly clock: Clock;
};

const Status = {
	Ok: 200,
	NoContent: 204,
	NotModified: 304,
	BadRequest: 400,
	NotFound: 404,
	Conflict: 409,
	TooLarge: 413,
} as const;

const errorSchema = z.object({message: z.string()});

/** Headers that request compression of large responses: a list of 1,100 groups is over a megabyte of JSON. */
const COMPRESSED = {'accept-encoding': 'gzip'} as const;

/** Creates a client of the platform's HTTP object API. */
export function createHttpPlatform({baseUrl, clock}: HttpPlatformOptions): Platform & Service {
	const client = createHttpClient({baseUrl, clock});
	let cachedHosts: {readonly etag: string; readonly hosts: readonly PlatformHost[]} | undefined;

	const sendRequest = async (req: HttpRequest) => {
		const res = await client.exchange(req);
		if (res.status === Status.BadRequest || res.status === Status.TooLarge) {
			throwPlatformRefused(req.what, getErrorMessage(res));
		}

		return res;
	};

	return {
		async get(kind, name, timeoutMs) {
			const what = `get ${kind} ${name}`;
			const res = await sendRequest({
				what, method: 'GET', path: getObjectPath(kind, name), timeoutMs,
			});
			return res.status === Status.NotFound && isObjectMissing(res) ? undefined : parseResponse(what, res, platformObjectSchema);
		},
		async list(kind, prefix, timeoutMs) {
			const what = `list ${kind}`;
			const path = `/v1/objects/${kind}?prefix=${encodeURIComponent(prefix)}`;
			const res = await sendRequest({
				what, method: 'GET', path, headers: COMPRESSED, timeoutMs, waitsWhileReceiving: true,
			});
			return parseResponse(what, res, platformListSchema);
		},
		async put({kind, name, value, expectedVersion}, timeoutMs) {
			const what = `put ${kind} ${name}`;
			const res = await sendRequest({
				what, method: 'PUT', path: getObjectPath(kind, name), body: {value, expectedVersion}, timeoutMs,
			});
			return res.status === Status.Conflict ? throwVersionConflict(kind, name, expectedVersion) : parseResponse(what, res, platformObjectSchema);
		},
		async delete(kind, name, expectedVersion, timeoutMs) {
			const what = `delete ${kind} ${name}`;
			const path = `${getObjectPath(kind, name)}?expectedVersion=${expectedVersion}`;
			const res = await sendRequest({
				what, method: 'DELETE', path, timeoutMs,
			});
			if (res.status === Status.Conflict) {
				throwVersionConflict(kind, name, expectedVersion);
			}

			if (res.status !== Status.NoContent) {
				throwPlatformSilent(what, new Error(`HTTP status ${res.status}`));
			}
		},
		async watch(kind, revision, waitMs, timeoutMs) {
			const what = `watch ${kind}`;
			const path = `/v1/watches/${kind}?revision=${revision}&waitMs=${waitMs}`;
			const res = await sendRequest({
				what, method: 'GET', path, timeoutMs,
			});
			return parseResponse(what, res, platformListSchema);
		},
		async hosts(timeoutMs) {
			const headers = cachedHosts ? {...COMPRESSED, 'if-none-match': cachedHosts.etag} : COMPRESSED;
			const res = await sendRequest({
				what: 'hosts', method: 'GET', path: '/v1/hosts', headers, timeoutMs,
			});
			if (res.status === Status.NotModified && cachedHosts) {
				return cachedHosts.hosts;
			}

			const hosts = parseResponse('hosts', res, platformHostsSchema);
			cachedHosts = res.headers.etag ? {etag: res.headers.etag, hosts} : undefined;
			return hosts;
		},
		async stop() {
			client.close();
		},
	};
}

function getObjectPath(kind: string, name: string) {
	return `/v1/objects/${kind}/${encodeURIComponent(name)}`;
}

/** Returns the platform's own error message where the body has the expected shape, otherwise the HTTP status. */
function getErrorMessage(res: HttpResponse) {
	try {
		return errorSchema.parse(JSON.parse(res.text)).message;
	} catch {
		return `HTTP status ${res.status}`;
	}
}

/** Distinguishes an absent object from a wrong base URL, which also leads to status 404. */
function isObjectMissing(res: HttpResponse) {
	return res.text.includes('"object-missing"');
}

function parseResponse<T>(what: string, res: HttpResponse, schema: z.ZodType<T>): T {
	if (res.status !== Status.Ok) {
		throwPlatformSilent(what, new Error(`HTTP status ${res.status}`));
	}

	const checked = schema.safeParse(parseJson(what, res.text));
	return checked.success ? checked.data : throwPlatformSilent(what, checked.error);
}

function parseJson(what: string, text: string): unknown {
	try {
		return JSON.parse(text);
	} catch (err) {
		return throwPlatformSilent(what, err);
	}
}
