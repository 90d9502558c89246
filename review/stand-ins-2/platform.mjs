import {once} from 'node:events';
import {createServer} from 'node:http';
import {json} from 'node:stream/consumers';

/** Names on a page of a list. */
const PAGE_SIZE = 500;

/**
 * Starts the platform's metadata store in memory, over HTTP: lists, single objects, creation, conditional replacement and removal, all linearizable.
 * Watches are not offered, since no program of the system uses them.
 */
export async function startStore(host, port) {
	const kinds = new Map();
	let revision = 1;

	const getKind = kind => {
		const objects = kinds.get(kind) ?? new Map();
		kinds.set(kind, objects);
		return objects;
	};

	const write = (kind, name, spec) => {
		const before = getKind(kind).get(name);
		if (before && JSON.stringify(before.spec) === JSON.stringify(spec)) {
			return before;
		}

		revision++;
		const object = {
			meta: {
				name, modRevision: revision, created: before?.meta.created ?? revision, finalizers: [], deleting: false,
			},
			spec,
			status: null,
		};
		getKind(kind).set(name, object);
		return object;
	};

	const remove = (kind, name) => {
		if (getKind(kind).delete(name)) {
			revision++;
		}
	};

	const list = (kind, after) => {
		const names = [...getKind(kind).keys()].toSorted().filter(name => name > after);
		return {items: names.slice(0, PAGE_SIZE).map(name => getKind(kind).get(name)), hasMore: names.length > PAGE_SIZE, storeRevision: revision};
	};

	const get = (kind, name, after) => {
		const object = name ? getKind(kind).get(name) : list(kind, after);
		return object ? [200, object] : [404, {storeRevision: revision}];
	};

	const change = (kind, name, expected, perform) => {
		const stored = getKind(kind).get(name);
		if (!stored) {
			return [404, {storeRevision: revision}];
		}

		return expected !== undefined && Number(expected) !== stored.meta.modRevision ? [409, stored] : [200, perform()];
	};

	const handle = async req => {
		const url = new URL(req.url, 'http://store');
		const [, root, kind, encodedName] = url.pathname.split('/');
		const name = encodedName && decodeURIComponent(encodedName);
		if (root !== 'objects' || !kind) {
			return [404, {}];
		}

		switch (req.method) {
			case 'GET': {
				return get(kind, name, url.searchParams.get('after') ?? '');
			}

			case 'POST': {
				const {meta, spec} = await json(req);
				const stored = getKind(kind).get(meta.name);
				return stored ? [409, stored] : [200, write(kind, meta.name, spec)];
			}

			case 'PUT': {
				const {meta, spec} = await json(req);
				return change(kind, name, meta.modRevision, () => write(kind, name, spec));
			}

			case 'DELETE': {
				return change(kind, name, url.searchParams.get('modRevision') ?? undefined, () => {
					remove(kind, name);
					return {storeRevision: revision};
				});
			}

			default: {
				return [405, {}];
			}
		}
	};

	const server = createServer((req, res) => {
		handle(req).then(([status, body]) => {
			res.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
		}, () => {
			res.writeHead(400).end('{}');
		});
	});
	server.listen(port, host);
	await once(server, 'listening');
	return {
		put: write,
		remove,
		get: (kind, name) => getKind(kind).get(name),
		stop() {
			server.closeAllConnections();
			server.close();
		},
	};
}

/** Starts the platform's service for promotions. `promote` gets the service and the server's id and returns whether that server runs. */
export async function startCloud(host, port, {promote, record}) {
	const server = createServer((req, res) => {
		json(req).then(({backend, id}) => {
			const status = promote(backend, id) ? 200 : 409;
			record(`POST /promote ${backend} ${id} of ${req.headers['x-aldercroft-lease-holder']} with token ${req.headers['x-aldercroft-fencing-token']}: ${status}`);
			res.writeHead(status, {'content-type': 'application/json'}).end('{}');
		}, () => {
			res.writeHead(400).end('{}');
		});
	});
	server.listen(port, host);
	await once(server, 'listening');
	return {
		stop() {
			server.closeAllConnections();
			server.close();
		},
	};
}
