import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {text} from 'node:stream/consumers';

/** An object in the representation of the platform's API. */
export type ApiObject = {
	readonly meta: {readonly name: string; readonly modRevision: number; readonly created: number; readonly finalizers: readonly string[]; readonly deleting: boolean};
	readonly spec: unknown;
	readonly status: unknown;
};

/** A backup: the contents of the store at one moment. */
export type ApiStoreBackup = {
	readonly revision: number;
	readonly kinds: ReadonlyMap<string, ReadonlyMap<string, ApiObject>>;
};

/** The platform's store over HTTP, for proxies that run as processes; it keeps everything in memory. */
export type HttpStoreServer = {
	readonly server: Server;
	/** Writes an object unconditionally, as the operator or a server of a group does. */
	put(kind: string, name: string, spec: unknown): void;
	remove(kind: string, name: string): void;
	/** Returns a copy of the store's current contents. */
	takeBackup(): ApiStoreBackup;
	/** Restores the store from an earlier backup and starts the next store generation; what was written since is lost. */
	restore(copy: ApiStoreBackup): void;
	/** HTTP status with which every call is refused while it is set. */
	refuseWith: number | undefined;
	/** Number of calls so far, by HTTP method. */
	readonly calls: Map<string, number>;
};

/** Number of objects on a page of a list. */
const PAGE_SIZE = 500;

/** Starts a server with an empty store. Resolves once it listens. */
export async function startHttpStoreServer(host: string, port: number): Promise<HttpStoreServer> {
	const kinds = new Map<string, Map<string, ApiObject>>();
	const calls = new Map<string, number>();
	let revision = 1;
	let generation = 1;

	const getKind = (kind: string) => {
		const objects = kinds.get(kind) ?? new Map<string, ApiObject>();
		kinds.set(kind, objects);
		return objects;
	};

	const write = (kind: string, name: string, spec: unknown) => {
		const previous = getKind(kind).get(name);
		if (previous && JSON.stringify(previous.spec) === JSON.stringify(spec)) {
			return previous;
		}

		revision++;
		const object: ApiObject = {
			meta: {
				name, modRevision: revision, created: previous?.meta.created ?? revision, finalizers: [], deleting: false,
			},
			spec,
			status: null,
		};
		getKind(kind).set(name, object);
		return object;
	};

	const list = (kind: string, after: string) => {
		const names = [...getKind(kind).keys()].toSorted().filter(name => name > after);
		const items = names.slice(0, PAGE_SIZE).map(name => getKind(kind).get(name));
		return {items, hasMore: names.length > PAGE_SIZE, storeRevision: revision};
	};

	const create = (kind: string, {meta, spec}: {meta: {name: string}; spec: unknown}): [number, unknown] => {
		const stored = getKind(kind).get(meta.name);
		return stored ? [409, stored] : [200, write(kind, meta.name, spec)];
	};

	const replace = (kind: string, name: string, {meta, spec}: {meta: {modRevision?: number}; spec: unknown}): [number, unknown] => {
		const stored = getKind(kind).get(name);
		if (!stored) {
			return [404, {storeRevision: revision}];
		}

		const isChanged = meta.modRevision !== undefined && meta.modRevision !== stored.meta.modRevision;
		return isChanged ? [409, stored] : [200, write(kind, name, spec)];
	};

	const remove = (kind: string, name: string, expected: string | undefined): [number, unknown] => {
		const stored = getKind(kind).get(name);
		if (!stored) {
			return [404, {storeRevision: revision}];
		}

		if (expected !== undefined && Number(expected) !== stored.meta.modRevision) {
			return [409, stored];
		}

		getKind(kind).delete(name);
		revision++;
		return [200, {storeRevision: revision}];
	};

	const handle = async (req: IncomingMessage): Promise<[number, unknown]> => {
		const url = new URL(req.url ?? '/', 'http://store');
		const [, root, kind, encodedName] = url.pathname.split('/');
		if (root !== 'objects' || !kind) {
			return [404, {}];
		}

		const name = encodedName && decodeURIComponent(encodedName);
		const body = req.method === 'POST' || req.method === 'PUT' ? JSON.parse(await text(req)) as never : undefined;
		const {method = ''} = req;
		switch (method) {
			case 'GET': {
				const object = name ? getKind(kind).get(name) : list(kind, url.searchParams.get('after') ?? '');
				return object ? [200, object] : [404, {storeRevision: revision}];
			}

			case 'POST': {
				return create(kind, body!);
			}

			case 'PUT': {
				return replace(kind, name ?? '', body!);
			}

			case 'DELETE': {
				return remove(kind, name ?? '', url.searchParams.get('modRevision') ?? undefined);
			}

			default: {
				return [405, {}];
			}
		}
	};

	const serve = async (req: IncomingMessage, res: ServerResponse) => {
		calls.set(req.method ?? '', (calls.get(req.method ?? '') ?? 0) + 1);
		const [status, body] = store.refuseWith === undefined ? await handle(req) : [store.refuseWith, {}];
		res.writeHead(status, {'content-type': 'application/json', 'store-era': String(generation)}).end(JSON.stringify(body));
	};

	const server = createServer((req, res) => {
		serve(req, res).catch(() => {
			res.writeHead(400).end('{}');
		});
	});
	server.listen(port, host);
	await once(server, 'listening');
	const store: HttpStoreServer = {
		server,
		calls,
		refuseWith: undefined,
		put(kind, name, spec) {
			write(kind, name, spec);
		},
		remove(kind, name) {
			remove(kind, name, undefined);
		},
		takeBackup: () => ({revision, kinds: new Map([...kinds].map(([kind, objects]) => [kind, new Map(objects)]))}),
		restore(copy) {
			generation++;
			revision = copy.revision;
			kinds.clear();
			for (const [kind, objects] of copy.kinds) {
				kinds.set(kind, new Map(objects));
			}
		},
	};
	return store;
}
