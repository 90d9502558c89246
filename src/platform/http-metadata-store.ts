import type {z} from 'zod';
import {
	RecordKind, type MetadataStore, type StoredRecord,
} from '../mirror/metadata-store.js';
import {getWithinGeneration, qualifyByGeneration} from '../mirror/store-generation.js';
import {createHttpExchanger, type HttpAnswer, type HttpExchange} from '../object-store/http-exchange.js';
import {throwPlatformRefused, throwPlatformSilent, throwVersionConflict} from '../object-store/platform-errors.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {Log} from '../log/log.js';
import type {Clock} from '../time/clock.js';
import {
	decodeEndpoint, decodeRouting, storeListSchema, storeObjectSchema, type StoreObject,
} from './store-schemas.js';
import {getStoreGeneration} from './store-era.js';
import {createUnusableEntries} from './unusable-entries.js';

/** What the client needs. */
export type HttpMetadataStoreOptions = {
	/** `ip:port` of the store. */
	readonly address: string;
	readonly clock: Clock;
	readonly log: Log;
	/** Told of each call and how it ended, for the metrics. */
	onCall(call: string, result: string): void;
	/** Told of the store's generation with each answer, for the metrics. */
	onGeneration(generation: number): void;
};

/** The platform's names for the kinds; no operator writes under the first two. */
const KIND_NAMES: Readonly<Record<RecordKind, string>> = {
	[RecordKind.Leadership]: 'aldercroft-leadership',
	[RecordKind.Hosts]: 'aldercroft-hosts',
};

const CONFIGURATION_KIND = 'config';
const CONFIGURATION_NAME = 'main';
const ENDPOINT_KIND = 'servers';

/** How log lines name an entry of a configuration's workspaces. */
const WORKSPACE = 'workspace';

/**
 * A kind without objects: listing it is the cheapest linearizable answer that carries the store's revision, 46 bytes
 * against 2,500 of the list of nine servers.
 */
const EMPTY_KIND = 'aldercroft-nothing';

const Status = {
	Ok: 200,
	NotFound: 404,
	Conflict: 409,
	TooMany: 429,
	ServerError: 500,
} as const;

/** An answer with the generation of the store that gave it. */
type StoreAnswer = HttpAnswer & {readonly generation: number};

/** Creates a client of the platform's store. */
export function createHttpMetadataStore({address, clock, log: parentLog, onCall, onGeneration}: HttpMetadataStoreOptions): MetadataStore {
	const exchanger = createHttpExchanger({baseUrl: `http://${address}`, clock});
	const log = parentLog.part('store: ');
	const unusable = createUnusableEntries(log);
	let answeredGeneration: number | undefined;

	const noteGeneration = (generation: number) => {
		if (answeredGeneration !== undefined && answeredGeneration !== generation) {
			log.warn('the store is of another generation than before', {generation, before: answeredGeneration});
		}

		answeredGeneration = generation;
		onGeneration(generation);
	};

	const exchange = async (call: string, req: HttpExchange): Promise<StoreAnswer> => {
		try {
			const res = await exchanger.exchange(req);
			onCall(call, String(res.status));
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
				what, method: 'GET', path, timeoutMs,
			});
			const page = parse(what, res, storeListSchema);
			// Later pages may show more; the first one's revision is what the whole is complete up to.
			first ??= {revision: qualifyByGeneration(res.generation, page.storeRevision), generation: res.generation};
			if (res.generation !== first.generation) {
				throwPlatformSilent(what, new Error('its pages are of two generations of the store'));
			}

			const readable = page.items.map(item => decodeObject(kind, item)).filter(object => object !== undefined);
			objects.push(...readable);
			if (!page.hasMore) {
				return {...first, objects};
			}

			// Without a name to go on from, what follows cannot be asked for, and half a list must not pass for the whole.
			after = readable.at(-1)?.meta.name ?? throwPlatformSilent(what, new Error('a page names no object'));
		}
	};

	/** An item of a list; undefined, and logged, where it is no object. */
	const decodeObject = (kind: string, item: unknown): StoreObject | undefined => {
		const object = storeObjectSchema.safeParse(item);
		if (!object.success) {
			unusable.note(kind, item);
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
				unusable.note(WORKSPACE, entry);
			});
			if (main && !routing) {
				unusable.note(CONFIGURATION_KIND, {meta: main.meta});
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
					unusable.note(ENDPOINT_KIND, object);
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
			return isChangedMeanwhile(res) ? throwVersionConflict(kind, name, version) : toRecord(parse(what, res, storeObjectSchema), res.generation);
		},
		async deleteRecord(kind, name, expectedVersion, timeoutMs) {
			const what = `delete ${kind} ${name}`;
			const path = `/objects/${KIND_NAMES[kind]}/${encodeURIComponent(name)}?modRevision=${getWithinGeneration(expectedVersion)}`;
			const res = await exchange('delete', {
				what, method: 'DELETE', path, timeoutMs,
			});
			if (isChangedMeanwhile(res)) {
				throwVersionConflict(kind, name, expectedVersion);
			}

			if (res.status !== Status.Ok) {
				throwPlatformRefused(what, `HTTP status ${res.status}`);
			}
		},
	};
}

/** A record that is gone is as good as one at another version: the condition no longer holds. */
function isChangedMeanwhile(res: HttpAnswer) {
	return res.status === Status.Conflict || res.status === Status.NotFound;
}

function toRecord({meta, spec}: StoreObject, generation: number): StoredRecord {
	return {name: meta.name, version: qualifyByGeneration(generation, meta.modRevision), value: spec};
}

function parse<T>(what: string, res: HttpAnswer, schema: z.ZodType<T>): T {
	if (res.status !== Status.Ok) {
		throwPlatformRefused(what, `HTTP status ${res.status}`);
	}

	try {
		return schema.parse(JSON.parse(res.text.replaceAll(CONTROL_CHARACTERS, ' ')));
	} catch (err) {
		return throwPlatformSilent(what, err);
	}
}

/** What another writer may have put into a string: as it stands no JSON may hold it, and one such entry would make the whole list unreadable. */
const CONTROL_CHARACTERS = /\p{Cc}/gv;
