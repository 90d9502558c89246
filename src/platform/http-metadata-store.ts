import type {z} from 'zod';
import {
	RecordKind, type MetadataStore, type StoredRecord,
} from '../mirror/metadata-store.js';
import {isReadableRecord} from '../mirror/mirror-state.js';
import {getWithinGeneration, qualifyByGeneration} from '../mirror/store-generation.js';
import {createHttpClient, type HttpResponse, type HttpRequest} from '../object-store/http-client.js';
import {throwPlatformRefused, throwPlatformSilent, throwVersionConflict} from '../object-store/platform-errors.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {Log} from '../log/log.js';
import type {Clock} from '../time/clock.js';
import {
	decodeEndpoint, decodeRouting, namedObjectSchema, storeListSchema, storeObjectSchema, type StoreObject,
} from './store-schemas.js';
import {getStoreGeneration} from './store-generation-header.js';
import {createUnusableEntryLog, type UnusableEntryReading} from './unusable-entry-log.js';

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
	/** Called with the kind of each entry that cannot be used, once for each of its changes, for the metrics. */
	onUnusableEntry?(kind: string): void;
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

/** A list as of one revision. */
type ObjectList = {
	readonly revision: number;
	readonly generation: number;
	readonly objects: readonly StoreObject[];
	/** The unusable entries of this reading; those found by its reader are added before it ends. */
	readonly unusable: UnusableEntryReading;
};

/** Creates an HTTP client of the platform's metadata store. */
export function createHttpMetadataStore({address, clock, log: parentLog, onCall, onBytes, onUnusableEntry, onGeneration}: HttpMetadataStoreOptions): MetadataStore {
	const httpClient = createHttpClient({baseUrl: `http://${address}`, clock});
	const log = parentLog.withPrefix('store: ');
	const unusableEntries = createUnusableEntryLog(log, onUnusableEntry);
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

	const list = async (kind: string, timeoutMs: number): Promise<ObjectList> => {
		const objects: StoreObject[] = [];
		const unusable = unusableEntries.beginReading(kind);
		const what = `list ${kind}`;
		let first: {readonly revision: number; readonly generation: number} | undefined;
		for (let after = ''; ;) {
			const path = after === '' ? `/objects/${kind}` : `/objects/${kind}?after=${encodeName(after)}`;
			const res = await exchange('list', {
				what, method: 'GET', path, timeoutMs, waitsWhileReceiving: true,
			});
			const page = parse(what, res, storeListSchema);
			// Later pages may include newer changes. The list as a whole is complete only up to the revision of its first page.
			first ??= {revision: qualifyByGeneration(res.generation, page.storeRevision), generation: res.generation};
			if (res.generation !== first.generation) {
				throwPlatformSilent(what, new Error('its pages come from two generations of the store'));
			}

			for (const item of page.items) {
				const object = storeObjectSchema.safeParse(item);
				if (object.success) {
					objects.push(object.data);
				} else {
					unusable.report(kind, item);
				}
			}

			if (!page.hasMore) {
				return {...first, objects, unusable};
			}

			// The next page is requested by the last name of this one. Without a name the call fails, since a partial list must not pass for a complete one.
			after = getLastName(page.items) ?? throwPlatformSilent(what, new Error('a page names no object'));
		}
	};

	return {
		async getRevision(timeoutMs) {
			const {revision} = await list(EMPTY_KIND, timeoutMs);
			return revision;
		},
		async readRouting(timeoutMs) {
			const {revision, objects, unusable} = await list(CONFIGURATION_KIND, timeoutMs);
			const main = objects.find(object => object.meta.name === CONFIGURATION_NAME);
			const routing = main && decodeRouting(main.spec, unusable.report);
			if (main && !routing) {
				unusable.report(CONFIGURATION_KIND, {meta: main.meta});
			}

			unusable.end();
			return {revision, content: routing};
		},
		async listEndpoints(timeoutMs) {
			const {revision, objects, unusable} = await list(ENDPOINT_KIND, timeoutMs);
			const content = new Map<string, RegisteredEndpoint>();
			for (const object of objects) {
				const endpoint = decodeEndpoint(object);
				if (endpoint && !content.has(endpoint.id)) {
					content.set(endpoint.id, endpoint);
				} else {
					unusable.report(ENDPOINT_KIND, object);
				}
			}

			unusable.end();
			return {revision, content: [...content.values()]};
		},
		async listRecords(kind, timeoutMs) {
			const {revision, generation, objects, unusable} = await list(KIND_NAMES[kind], timeoutMs);
			const content = objects.map(object => toRecord(object, generation));
			for (const record of content.filter(each => !isReadableRecord(kind, each))) {
				unusable.report(KIND_NAMES[kind], record);
			}

			unusable.end();
			return {revision, content};
		},
		async putRecord(kind, {name, version, value}, timeoutMs) {
			const what = `put ${kind} ${name}`;
			const path = `/objects/${KIND_NAMES[kind]}`;
			const res = await exchange('put', version === 0
				? {
					what, method: 'POST', path, body: {meta: {name}, spec: value}, timeoutMs,
				}
				: {
					what, method: 'PUT', path: `${path}/${encodeForPath(what, name)}`, body: {meta: {name, modRevision: getWithinGeneration(version)}, spec: value}, timeoutMs,
				});
			return isConditionUnmet(res) ? throwVersionConflict(kind, name, version) : toRecord(parse(what, res, storeObjectSchema), res.generation);
		},
		async deleteRecord(kind, name, expectedVersion, timeoutMs) {
			const what = `delete ${kind} ${name}`;
			const path = `/objects/${KIND_NAMES[kind]}/${encodeForPath(what, name)}?modRevision=${getWithinGeneration(expectedVersion)}`;
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

/** Returns the name of the last item that has one, whatever else it holds. */
function getLastName(items: readonly unknown[]): string | undefined {
	const names = items.map(item => namedObjectSchema.safeParse(item).data?.meta.name);
	return names.findLast(name => name !== undefined);
}

/** A name that no path can hold: an empty one, one that is resolved to another path, and half of a surrogate pair, which has no encoding. */
const NOT_IN_PATH = /^\.{0,2}$|\p{Surrogate}/u;

/** Encodes the name of a record for the path of a change; throws PlatformRefusedError where no path can hold it, since the change would be one of another object. */
function encodeForPath(what: string, name: string): string {
	return NOT_IN_PATH.test(name) ? throwPlatformRefused(what, 'no path can hold the name') : encodeURIComponent(name);
}

/** Encodes a name for a query. Half of a surrogate pair, which another writer may have put into a name, has no encoding. */
function encodeName(name: string): string {
	return encodeURIComponent(name.replaceAll(/\p{Surrogate}/gu, '\uFFFD'));
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
