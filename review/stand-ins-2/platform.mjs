import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
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
	const readWaiters = [];

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
			const waiters = req.method === 'GET' ? readWaiters.splice(0) : [];
			for (const resolve of waiters) {
				resolve();
			}
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
		/** Resolves at the next answer to a reading call. */
		whenRead: async () => new Promise(resolve => {
			readWaiters.push(resolve);
		}),
		stop() {
			server.closeAllConnections();
			server.close();
		},
	};
}

/** Bytes that a link passes on at once, and the pause between two of these. */
const SLICE_BYTES = 8192;

/**
 * Starts a machine's link to the store: all that the store sends on its connections together gets `mbps` megabits a second, the connections in turn. What the machine sends isn't held up.
 */
export async function startLink(host, port, {targetHost, targetPort, mbps}) {
	const open = new Set();
	let timer;

	const passOn = () => {
		timer = undefined;
		for (const connection of open) {
			if (connection.held.length === 0) {
				continue;
			}

			// The connection that was served comes last in the next round.
			open.delete(connection);
			open.add(connection);
			const [first] = connection.held;
			connection.near.write(first.subarray(0, SLICE_BYTES));
			connection.held[0] = first.subarray(SLICE_BYTES);
			if (connection.held[0].length === 0) {
				connection.held.shift();
			}

			break;
		}

		start();
	};

	const start = () => {
		if ([...open].some(({held}) => held.length > 0)) {
			timer ??= setTimeout(passOn, SLICE_BYTES * 8 / (mbps * 1000));
		}
	};

	const server = createTcpServer(near => {
		const far = connect({host: targetHost, port: targetPort, noDelay: true});
		const connection = {near, held: []};
		open.add(connection);
		const end = () => {
			open.delete(connection);
			near.destroy();
			far.destroy();
		};

		for (const socket of [near, far]) {
			socket.on('error', end);
			socket.on('close', end);
		}

		near.on('data', chunk => {
			far.write(chunk);
		});
		far.on('data', chunk => {
			connection.held.push(chunk);
			start();
		});
	});
	server.listen(port, host);
	await once(server, 'listening');
	return {
		stop() {
			clearTimeout(timer);
			server.close();
			for (const {near} of open) {
				near.destroy();
			}
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
