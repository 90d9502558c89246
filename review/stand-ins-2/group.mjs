import {once} from 'node:events';
import {createServer} from 'node:net';
import {
	createLineSplitter, getUnixMs, sleep, splitFirstWord,
} from './wire.mjs';

/** Time of a message between two servers, in milliseconds. */
const NETWORK_MS = 1;

/** Time for which a superseded primary reaches its successor before it becomes a replica, in milliseconds. */
const STEP_DOWN_MS = 1000;

/** Time after which a server drops a connection whose other end is not reached, in milliseconds. */
const DROP_MS = 3000;

/** Time that a new connection takes, in milliseconds. */
const HANDSHAKE_MS = 12;

/**
 * Starts the servers of one service, in this process, each at an address of its own. The first begins as primary.
 *
 * Each server has `slots` for reads, writes, commits and status requests, and a queue of `queue` requests; beyond it answers BUSY.
 */
export async function startGroup({name, servers: places, store, record, onPromoted, onRead, settings}) {
	const {
		syncReplicas, slots, queue, maxConnections, workMs, lagMs, promoteMs, heartbeatMs,
	} = settings;
	const servers = places.map((place, i) => ({
		...place,
		role: i === 0 ? 'primary' : 'replica',
		term: 1,
		pausedTerm: 0,
		log: [],
		applied: 0,
		running: true,
		/** Receives nothing from the primary while it is set. */
		deaf: false,
		/** No bytes pass between it and its callers while it is set. */
		cut: false,
		bornAt: getUnixMs(),
		work: {busy: 0, waiting: []},
		sessions: new Set(),
		listener: undefined,
		reachesSince: undefined,
	}));
	let latest = servers[0];
	let stopped = false;
	let receiptWaiters = [];

	const register = server => {
		if (!server.running) {
			return;
		}

		server.sequence = (server.sequence ?? 0) + 1;
		server.heardAt = performance.now();
		const entry = {
			backend: name, address: `${server.host}:${server.port}`, zone: server.zone, revision: 'v1', capacity: slots, state: 'ready', coldRemainingMs: 0, dbRole: server.role, born: server.bornAt,
		};
		// An entry changes when more than its sequence does.
		const before = store.get('servers', server.id)?.spec;
		if (!before || JSON.stringify({...before, sequence: 0}) !== JSON.stringify({...entry, sequence: 0})) {
			store.put('servers', server.id, {...entry, sequence: server.sequence});
		}
	};

	const heartbeat = async () => {
		while (!stopped) {
			for (const server of servers) {
				register(server);
				if (performance.now() - server.heardAt > 3 * heartbeatMs) {
					store.remove('servers', server.id);
				}
			}

			await sleep(heartbeatMs);
		}
	};

	const getPosition = ({log, term}, count) => count === 0 ? `${log.length === 0 ? term : log[0].term}.0` : `${log[count - 1].term}.${count}`;

	const holds = ({log, applied}, text) => {
		const [term, number] = text.split('.').map(Number);
		const last = applied === 0 ? {term: 0} : log[applied - 1];
		return last.term > term ? applied >= number : (last.term === term && applied >= number) || number === 0;
	};

	const setRole = (server, role) => {
		if (server.role !== role) {
			server.role = role;
			record(`${server.id} is ${role} in term ${server.term}`);
			register(server);
		}
	};

	const isSame = (left, right) => left?.term === right?.term && left?.id === right?.id;

	/** Copies the log of the latest primary to a server that receives. */
	const replicateTo = server => {
		const connected = server !== latest && server.running && latest.running && latest.role === 'primary' && !server.deaf;
		if (!connected) {
			server.reachesSince = undefined;
			return;
		}

		if (server.role === 'primary') {
			server.reachesSince ??= performance.now();
			if (performance.now() - server.reachesSince < STEP_DOWN_MS) {
				return;
			}

			setRole(server, 'replica');
		}

		if (server.pausedTerm > latest.term) {
			return;
		}

		server.term = latest.term;
		let common = Math.min(server.log.length, latest.log.length);
		while (common > 0 && !isSame(server.log[common - 1], latest.log[common - 1])) {
			common--;
		}

		server.log.length = common;
		server.applied = Math.min(server.applied, common);
		if (latest.log.length > common) {
			server.log.push(...latest.log.slice(common));
			const received = server.log.length;
			const {bornAt} = server;
			setTimeout(() => {
				if (server.bornAt === bornAt) {
					server.applied = Math.max(server.applied, Math.min(received, server.log.length));
				}
			}, lagMs);
		}
	};

	const replicate = async () => {
		while (!stopped) {
			for (const server of servers) {
				replicateTo(server);
			}

			const waiters = receiptWaiters;
			receiptWaiters = [];
			for (const resolve of waiters) {
				resolve();
			}

			await sleep(NETWORK_MS);
		}
	};

	/** Resolves once enough replicas have received an entry, or its server or session has ended. */
	const whenReceived = async (server, entry, session) => {
		const isHeld = other => other !== server && isSame(other.log[entry.number - 1], entry);
		while (!session.closed && servers.filter(other => isHeld(other)).length < syncReplicas) {
			await new Promise(resolve => {
				receiptWaiters.push(resolve);
			});
		}
	};

	const takeSlot = async work => {
		if (work.busy < slots) {
			work.busy++;
			return true;
		}

		if (work.waiting.length >= queue) {
			return false;
		}

		await new Promise(resolve => {
			work.waiting.push(resolve);
		});
		return true;
	};

	const freeSlot = work => {
		const next = work.waiting.shift();
		if (next) {
			next();
		} else {
			work.busy--;
		}
	};

	const error = (session, code) => `ERROR ${code} ${session.server.id}\r\n`;
	const getState = ({transaction}) => transaction ? (transaction.failed ? 'E' : 'T') : 'I';

	const commit = async (session, id, writes) => {
		const {server} = session;
		const entry = {
			term: server.term, number: server.log.length + 1, id, writes,
		};
		server.log.push(entry);
		server.applied = server.log.length;
		record(`${server.id} commits ${id} as ${entry.term}.${entry.number}`);
		await whenReceived(server, entry, session);
		return `COMPLETE sig-${id}\r\n`;
	};

	const read = (session, id, item) => {
		const {server} = session;
		onRead(id, server);
		const writes = server.log.slice(0, server.applied).flatMap(entry => entry.writes);
		const row = writes.findLast(write => write.item === item)?.data;
		record(`${server.id} reads ${id}, ${item}, on a log up to ${getPosition(server, server.applied)}`);
		return `${row === undefined ? '' : `DATAROW ${row}\r\n`}COMPLETE sig-${id}\r\n`;
	};

	const write = async (session, id, item, data) => {
		if (session.server.role !== 'primary' || session.transaction?.readOnly) {
			return error(session, 'READONLY');
		}

		if (session.transaction) {
			session.transaction.writes.push({item, data});
			return `COMPLETE sig-${id}\r\n`;
		}

		return commit(session, id, [{item, data}]);
	};

	const endTransaction = async (session, id) => {
		const {transaction, server} = session;
		if (!transaction) {
			return error(session, 'MALFORMED');
		}

		session.transaction = undefined;
		if (transaction.writes.length === 0) {
			return `COMPLETE sig-${id}\r\n`;
		}

		return server.role === 'primary' ? commit(session, id, transaction.writes) : error(session, 'READONLY');
	};

	const status = session => {
		const {server} = session;
		const row = [server.role, server.term, getPosition(server, server.log.length), server.pausedTerm, server.role === 'primary' ? 0 : lagMs, server.work.busy, server.sessions.size];
		return `DATAROW ${row.join(' ')}\r\nCOMPLETE -\r\n`;
	};

	const control = (session, keyword, term) => {
		const {server} = session;
		if (keyword === 'PAUSE' && server.role === 'replica' && term > server.term) {
			server.pausedTerm = Math.max(server.pausedTerm, term);
		} else if (keyword === 'RESUME') {
			server.pausedTerm = 0;
		} else if (keyword === 'STEPDOWN' && server.role === 'primary' && term > server.term) {
			setRole(server, 'replica');
		}

		return status(session);
	};

	const begin = (session, readOnly) => {
		if (session.transaction) {
			return error(session, 'MALFORMED');
		}

		if (!readOnly && session.server.role !== 'primary') {
			return error(session, 'READONLY');
		}

		session.transaction = {readOnly, writes: [], failed: false};
		return 'COMPLETE -\r\n';
	};

	const resolveText = (session, text) => {
		const [keyword, rest] = splitFirstWord(text);
		if (keyword !== 'EXECUTE') {
			return text;
		}

		const [prepared, args] = splitFirstWord(rest);
		const access = session.prepared.get(prepared);
		return access && `${access} ${args}`;
	};

	const perform = async (session, id, text) => {
		const [keyword, rest] = splitFirstWord(text);
		switch (keyword) {
			case 'READ': {
				return read(session, id, rest);
			}

			case 'WRITE': {
				return write(session, id, ...splitFirstWord(rest));
			}

			case 'COMMIT': {
				return endTransaction(session, id);
			}

			case 'ROLLBACK': {
				session.transaction = undefined;
				return 'COMPLETE -\r\n';
			}

			case 'BEGIN': {
				return begin(session, rest === 'READ');
			}

			case 'SET': {
				session.values.set(...splitFirstWord(rest));
				return 'COMPLETE -\r\n';
			}

			case 'PARSE': {
				const [prepared, definition] = splitFirstWord(rest);
				session.prepared.set(prepared, splitFirstWord(definition)[0]);
				return 'COMPLETE -\r\n';
			}

			case 'CLOSE': {
				session.prepared.delete(rest);
				return 'COMPLETE -\r\n';
			}

			case 'RESET': {
				session.values.clear();
				session.prepared.clear();
				return 'COMPLETE -\r\n';
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'STEPDOWN': {
				return control(session, keyword, Number(rest));
			}

			default: {
				return error(session, 'MALFORMED');
			}
		}
	};

	const SLOT_WORK = {
		READ: workMs, WRITE: workMs, COMMIT: workMs, STATUS: 1, PAUSE: 1, RESUME: 1, STEPDOWN: 1,
	};

	const answer = async (session, id, query) => {
		const {server} = session;
		const [keyword, rest] = splitFirstWord(query);
		const [floor, prefixed] = keyword === 'AFTER' ? splitFirstWord(rest) : [undefined, query];
		const text = resolveText(session, prefixed);
		if (text === undefined) {
			return error(session, 'NOSUCHSTMT');
		}

		const [command] = splitFirstWord(text);
		if (session.transaction?.failed && command !== 'ROLLBACK' && command !== 'COMMIT') {
			return error(session, 'MALFORMED');
		}

		const slotMs = SLOT_WORK[command];
		const {work} = server;
		if (slotMs !== undefined && !await takeSlot(work)) {
			return error(session, 'BUSY');
		}

		try {
			await sleep(slotMs ?? 0);
			if (session.closed) {
				return '';
			}

			if (floor !== undefined && !holds(server, floor)) {
				return error(session, 'LAGGING');
			}

			const isStale = session.transaction && !session.transaction.readOnly && server.role !== 'primary';
			if (isStale && command !== 'ROLLBACK' && command !== 'COMMIT') {
				return error(session, 'READONLY');
			}

			return await perform(session, id, text);
		} finally {
			if (slotMs !== undefined) {
				freeSlot(work);
			}
		}
	};

	const send = (session, text) => {
		if (session.server.cut) {
			session.heldOutput += text;
		} else if (!session.socket.destroyed) {
			session.socket.write(text, 'latin1');
		}
	};

	const end = session => {
		session.closed = true;
		session.transaction = undefined;
		session.server.sessions.delete(session);
		session.socket.destroy();
	};

	const open = async (session, line) => {
		const {server} = session;
		const [keyword, service, , id = server.id] = line.split(' ');
		await sleep(HANDSHAKE_MS);
		if (keyword !== 'STARTUP' || service !== name || id !== server.id) {
			send(session, error(session, 'WRONGNODE'));
			end(session);
			return false;
		}

		if (server.sessions.size > maxConnections) {
			send(session, error(session, 'CONNLIMIT'));
			session.socket.end();
			session.server.sessions.delete(session);
			return false;
		}

		send(session, `READY I ${getPosition(server, server.applied)}\r\n`);
		return true;
	};

	const serveLine = async (session, line) => {
		if (session.closed) {
			return;
		}

		if (!session.opened) {
			session.opened = await open(session, line);
			return;
		}

		const [keyword, rest] = splitFirstWord(line);
		if (keyword !== 'QUERY') {
			end(session);
			return;
		}

		const [id, text] = splitFirstWord(rest);
		const result = await answer(session, id, text);
		if (session.closed) {
			return;
		}

		if (session.transaction && result.startsWith('ERROR')) {
			session.transaction.failed = true;
		}

		send(session, `${result}READY ${getState(session)} ${getPosition(session.server, session.server.applied)}\r\n`);
	};

	const accept = (server, socket) => {
		const split = createLineSplitter();
		const session = {
			server, socket, opened: false, closed: false, heldOutput: '', heldLines: [], values: new Map(), prepared: new Map(), transaction: undefined, served: Promise.resolve(),
		};
		server.sessions.add(session);
		socket.setEncoding('latin1');
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			end(session);
		});
		socket.on('data', chunk => {
			for (const line of split(chunk)) {
				receive(session, line);
			}
		});
	};

	const receive = (session, line) => {
		if (session.server.cut) {
			session.heldLines.push(line);
			return;
		}

		session.served = session.served.then(async () => serveLine(session, line));
	};

	const listen = async server => {
		server.listener = createServer(socket => {
			accept(server, socket);
		});
		server.listener.listen(server.port, server.host);
		await once(server.listener, 'listening');
	};

	const endProcess = server => {
		server.running = false;
		server.listener.close();
		for (const session of server.sessions) {
			end(session);
		}

		server.work = {busy: 0, waiting: []};
	};

	const completePromotion = server => {
		if (!server.running || (server === latest && server.role === 'primary')) {
			return;
		}

		server.term = Math.max(...servers.map(({term}) => term)) + 1;
		server.pausedTerm = 0;
		server.applied = server.log.length;
		latest = server;
		setRole(server, 'primary');
		record(`the promotion of ${server.id} has taken effect: it leads term ${server.term} with a log up to ${getPosition(server, server.log.length)}`);
		onPromoted(server);
	};

	await Promise.all(servers.map(async server => listen(server)));
	heartbeat();
	replicate();
	return {
		servers,
		get latest() {
			return latest;
		},
		promote(backend, id) {
			const server = servers.find(other => other.id === id);
			if (backend !== name || !server?.running) {
				return false;
			}

			setTimeout(() => {
				completePromotion(server);
			}, promoteMs);
			return true;
		},
		/** Ends a server's process; its log stays. */
		crash(server) {
			record(`${server.id} crashes`);
			endProcess(server);
		},
		/** Starts a crashed server again with its log, as a replica if another was promoted. */
		async restart(server) {
			server.pausedTerm = 0;
			server.running = true;
			server.role = server === latest ? 'primary' : 'replica';
			record(`${server.id} is back with its log, as ${server.role}`);
			await listen(server);
			register(server);
		},
		/** Starts a crashed server again under its id; it holds and knows nothing of before. */
		async restartEmpty(server) {
			Object.assign(server, {
				pausedTerm: 0, running: true, role: 'replica', term: 0, log: [], applied: 0, bornAt: getUnixMs(), sequence: 0,
			});
			record(`${server.id} has started again under its id and holds nothing`);
			await listen(server);
			register(server);
		},
		/** Cuts a server off from its callers: bytes of both directions are held, and the server drops its connections after a while. */
		cutOff(server) {
			record(`${server.id} is cut off from the proxies`);
			server.cut = true;
			const dropped = [...server.sessions];
			setTimeout(() => {
				for (const session of server.cut ? dropped : []) {
					session.closed = true;
					session.transaction = undefined;
				}
			}, DROP_MS);
		},
		/** Ends the cut: what was held arrives. */
		heal(server) {
			record(`${server.id} is reached again by the proxies`);
			server.cut = false;
			for (const session of server.sessions) {
				if (session.closed) {
					end(session);
					continue;
				}

				session.socket.write(session.heldOutput, 'latin1');
				session.heldOutput = '';
				for (const line of session.heldLines.splice(0)) {
					receive(session, line);
				}
			}
		},
		stop() {
			stopped = true;
			for (const server of servers.filter(({running}) => running)) {
				endProcess(server);
			}
		},
	};
}
