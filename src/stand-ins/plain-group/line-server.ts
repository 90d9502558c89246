import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import type {EndpointLink} from '../../links/endpoint-link.js';
import {isLinkRefused} from '../../links/link-errors.js';
import {formatCallerAnswer, formatReady} from '../../platform/caller-lines.js';
import {createLineReader} from '../../platform/line-reader.js';
import {formatCode} from '../../platform/wire-codes.js';
import {SessionState} from '../../statements/statement.js';
import {parseEndpointLine} from './parse-endpoint-line.js';
import type {PlainGroup} from './plain-group.js';
import type {PlainServer} from './plain-server.js';

/** Where a server listens. */
export type LineServerOptions = {
	readonly host: string;
	readonly port: number;
	/** Called for each request that is not understood, with its line. */
	onMalformed?(line: string): void;
};

/** Serves one server of a group over TCP, in the line protocol of the platform. Resolves once it listens. */
export async function startLineServer(group: PlainGroup, server: PlainServer, {host, port, onMalformed}: LineServerOptions): Promise<Server> {
	const listener = createServer(socket => {
		void serve(group, server, socket, onMalformed);
	});
	listener.listen(port, host);
	await once(listener, 'listening');
	return listener;
}

async function serve(group: PlainGroup, server: PlainServer, socket: Socket, onMalformed: LineServerOptions['onMalformed']) {
	const reader = createLineReader();
	let opening: Promise<EndpointLink | undefined> | undefined;
	let answers = Promise.resolve();
	socket.setEncoding('latin1');
	socket.setNoDelay(true);
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('close', () => {
		void opening?.then(link => {
			link?.cut();
		});
	});
	socket.on('data', (chunk: string) => {
		const lines = reader.push(chunk);
		if (!lines) {
			socket.destroy();
			return;
		}

		for (const line of lines) {
			if (!opening) {
				opening = open(group, server, socket, line);
				continue;
			}

			const opened = opening;
			answers = answers.then(async () => answer(await opened, socket, line, onMalformed));
		}
	});
}

async function open(group: PlainGroup, server: PlainServer, socket: Socket, line: string): Promise<EndpointLink | undefined> {
	const [keyword, name = '', , endpointId = server.id] = line.split(' ');
	if (keyword !== 'STARTUP' || !server.running) {
		socket.destroy();
		return undefined;
	}

	try {
		const link = await group.open({address: server.address, group: name, endpointId}, {onSent() {}, onReceived() {}, onAnswered() {}}, () => false); // eslint-disable-line @typescript-eslint/no-empty-function
		link.onClose(() => socket.destroy());
		socket.write(formatReady(SessionState.Idle, link.firstPosition), 'latin1');
		return link;
	} catch (err) {
		socket.end(isLinkRefused(err) ? `ERROR ${formatCode(err.code)} ${server.id}\r\n` : '');
		return undefined;
	}
}

async function answer(link: EndpointLink | undefined, socket: Socket, line: string, onMalformed: LineServerOptions['onMalformed']) {
	if (!link || !line.startsWith('QUERY ')) {
		socket.end();
		return;
	}

	const req = parseEndpointLine(line);
	if (!req) {
		onMalformed?.(line);
		socket.write('ERROR MALFORMED -\r\nREADY I -\r\n');
		return;
	}

	try {
		const {rows, end, state, position} = await link.exchange(req);
		socket.write(formatCallerAnswer(rows, end, state, position), 'latin1');
	} catch {
		// The simulated server's process has ended, and its connections end with it.
		socket.destroy();
	}
}
