import type {z} from 'zod';
import {
	RecordKind, type MetadataStore, type StoredRecord,
} from '../mirror/metadata-store.js';
import {getWithinGeneration, qualifyByGeneration} from '../mirror/store-generation.js';
import {createHttpClient, type HttpResponse, type HttpRequest} from '../object-store/http-client.js';
import {throwPlatformRefused, throwPlatformSilent, throwVersionConflict} from '../object-store/platform-errors.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {Log} from '../log/log.js';
import type {Clock} from '../time/clock.js';
import {
	decodeEndpoint, decodeRouting, storeListSchema, storeObjectSchema, type StoreObject,
} from './store-schemas.js';
import {getStoreGeneration} from './store-generation-header.js';
import {createUnusableEntryLog} from './unusable-entry-log.js';

/** Options of the client. */
export type HttpMetadataStoreOptions = {
	/** `ip:port` of the store. */
	readonly address: string;
	readonly clock: Clock;
	readonly log: Log;
	/** Called after each call with its result, for the metrics. */
	onCall(call: string, result: string): void;
	/** Called with the size of each request and its response together, in bytes. */
	onBytes?(bytes: number): void;
	/** Called with the store generation of each response, for the metrics. */
	onGeneration(generation: number): void;
};

/** The store's names for the kinds of records. These records are written only by proxies, never by an operator. */
const KIND_NAMES: Readonly<Record<RecordKind, string>> = {
	[RecordKind.Leadership]: 'aldercroft-leadership',
	[RecordKind.Hosts]: 'aldercroft-hosts',
};

const CONFIGURATION_KIND = 'config';
const CONFIGURATION_NAME = 'main';
const ENDPOINT_KIND = 'servers';

/** The kind under which the log names an unusable workspace of a configuration. */
const WORKSPACE_ENTRY = 'workspace';

/**
 * A kind without objects. Listing it is the cheapest linearizable request whose response carries the store's revision: 46 bytes,
 * against 2,500 for the list of nine servers.
 */
const EMPTY_KIND = 'aldercroft-nothing';

const Status = {
	Ok: 200,
	NotFound: 404,
	Conflict: 409,
	TooMany: 429,
	ServerError: 500,
} as const;

/** A response of the store and the store generation that it states. */
type StoreResponse = HttpResponse & {readonly generation: number};

/** Creates an HTTP client of the platform's metadata store. */
export function createHttpMetadataStore({address, clock, log: parentLog, onCall, onBytes, onGeneration}: HttpMetadataStoreOptions): MetadataStore {
	const httpClient = createHttpClient({baseUrl: `http://${address}`, clock});
	const log = parentLog.withPrefix('store: ');
	const unusableEntries = createUnusableEntryLog(log);
	let lastGeneration: number | undefined;

	const noteGeneration = (generation: number) => {
		if (lastGeneration !== undefined && lastGeneration !== generation) {
			log.warn('the store generation changed', {generation, before: lastGeneration});
		}

		lastGeneration = generation;
		onGeneration(generation);
	};

	const exchange = async (call: string, req: HttpRequest): Promise<StoreResponse> => {
		try {
			const res = await httpClient.exchange(req);
			onCall(call, String(res.status));
			onBytes?.(getExchangeBytes(req, res));
			if (res.status === Status.TooMany || res.status >= Status.ServerError) {
				throwPlatformSilent(req.what, new Error(`HTTP status ${res.status}`));
			}

			const generation = getStoreGeneration(req.what, res.headers);
			noteGeneration(generation);
			return {...res, generation};
		} catch (err) {
			onCall(call, 'no answer');
			throw err;
		}
	};

	const list = async (kind: string, timeoutMs: number): Promise<{revision: number; generation: number; objects: StoreObject[]}> => {
		const objects: StoreObject[] = [];
		const what = `list ${kind}`;
		let first: {readonly revision: number; readonly generation: number} | undefined;
		for (let after = ''; ;) {
			const path = after === '' ? `/objects/${kind}` : `/objects/${kind}?after=${encodeURIComponent(after)}`;
			const res = await exchange('list', {
				what, method: 'GET', path, timeoutMs, waitsWhileReceiving: true,
			});
			const page = parse(what, res, storeListSchema);
			// Later pages may include newer changes. The list as a whole is complete only up to the revision of its first page.
			first ??= {revision: qualifyByGeneration(res.generation, page.storeRevision), generation: res.generation};
			if (res.generation !== first.generation) {
				throwPlatformSilent(what, new Error('its pages come from two generations of the store'));
			}

			const decodable = page.items.map(item => decodeObject(kind, item)).filter(object => object !== undefined);
			objects.push(...decodable);
			if (!page.hasMore) {
				return {...first, objects};
			}

			// The next page is requested by the last name of this one. Without a name the call fails, since a partial list must not pass for a complete one.
			after = decodable.at(-1)?.meta.name ?? throwPlatformSilent(what, new Error('a page names no object'));
		}
	};

	/** Decodes an item of a list; logs it and returns undefined if it is not an object of the store. */
	const decodeObject = (kind: string, item: unknown): StoreObject | undefined => {
		const object = storeObjectSchema.safeParse(item);
		if (!object.success) {
			unusableEntries.report(kind, item);
		}

		return object.data;
	};

	return {
		async getRevision(timeoutMs) {
			const {revision} = await list(EMPTY_KIND, timeoutMs);
			return revision;
		},
		async readRouting(timeoutMs) {
			const {revision, objects} = await list(CONFIGURATION_KIND, timeoutMs);
			const main = objects.find(object => object.meta.name === CONFIGURATION_NAME);
			const routing = main && decodeRouting(main.spec, entry => {
				unusableEntries.report(WORKSPACE_ENTRY, entry);
			});
			if (main && !routing) {
				unusableEntries.report(CONFIGURATION_KIND, {meta: main.meta});
			}

			return {revision, content: routing};
		},
		async listEndpoints(timeoutMs) {
			const {revision, objects} = await list(ENDPOINT_KIND, timeoutMs);
			const content: RegisteredEndpoint[] = [];
			for (const object of objects) {
				const endpoint = decodeEndpoint(object);
				if (endpoint) {
					content.push(endpoint);
				} else {
					unusableEntries.report(ENDPOINT_KIND, object);
				}
			}

			return {revision, content};
		},
		async listRecords(kind, timeoutMs) {
			const {revision, generation, objects} = await list(KIND_NAMES[kind], timeoutMs);
			return {revision, content: objects.map(object => toRecord(object, generation))};
		},
		async putRecord(kind, {name, version, value}, timeoutMs) {
			const what = `put ${kind} ${name}`;
			const path = `/objects/${KIND_NAMES[kind]}`;
			const res = await exchange('put', version === 0
				? {
					what, method: 'POST', path, body: {meta: {name}, spec: value}, timeoutMs,
				}
				: {
					what, method: 'PUT', path: `${path}/${encodeURIComponent(name)}`, body: {meta: {name, modRevision: getWithinGeneration(version)}, spec: value}, timeoutMs,
				});
			return isConditionUnmet(res) ? throwVersionConflict(kind, name, version) : toRecord(parse(what, res, storeObjectSchema), res.generation);
		},
		async deleteRecord(kind, name, expectedVersion, timeoutMs) {
			const what = `delete ${kind} ${name}`;
			const path = `/objects/${KIND_NAMES[kind]}/${encodeURIComponent(name)}?modRevision=${getWithinGeneration(expectedVersion)}`;
			const res = await exchange('delete', {
				what, method: 'DELETE', path, timeoutMs,
			});
			if (isConditionUnmet(res)) {
				throwVersionConflict(kind, name, expectedVersion);
			}

			if (res.status !== Status.Ok) {
				throwPlatformRefused(what, `HTTP status ${res.status}`);
			}
		},
	};
}

/** Whether a conditional write was rejected. A deleted record counts like one with another version, since the condition no longer holds either way. */
function isConditionUnmet(res: HttpResponse) {
	return res.status === Status.Conflict || res.status === Status.NotFound;
}

function toRecord({meta, spec}: StoreObject, generation: number): StoredRecord {
	return {name: meta.name, version: qualifyByGeneration(generation, meta.modRevision), value: spec};
}

function parse<T>(what: string, res: HttpResponse, schema: z.ZodType<T>): T {
	if (res.status !== Status.Ok) {
		throwPlatformRefused(what, `HTTP status ${res.status}`);
	}

	try {
		return schema.parse(JSON.parse(res.text.replaceAll(CONTROL_CHARACTERS, ' ')));
	} catch (err) {
		return throwPlatformSilent(what, err);
	}
}

/** Control characters that another writer may have put into a string. JSON does not allow them unescaped, so one such entry would make the whole list unreadable. */
const CONTROL_CHARACTERS = /\p{Cc}/gv;

/** Bytes of the headers of a request and its response. */
const HEADER_BYTES = 400;

function getExchangeBytes({body}: HttpRequest, {headers, text}: HttpResponse): number {
	const sent = body === undefined ? 0 : JSON.stringify(body).length;
	return HEADER_BYTES + sent + Number(headers['content-length'] ?? text.length);
}
