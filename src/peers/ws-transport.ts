import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {WebSocket, WebSocketServer} from 'ws';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {throwPeerUnreachable} from './peer-errors.js';
import type {ChannelListener, PeerChannel, PeerTransport} from './peer-transport.js';

/** What the transport needs. */
export type WsTransportOptions = {
	/** IP address to listen on. */
	readonly hostAddress: string;
	/** Port to listen on; 0 takes a free one. */
	readonly port: number;
	/** Maximum size of a message, in bytes; a larger one closes its channel. */
	readonly maxMessageBytes: number;
	readonly clock: Clock;
};

const PATH = '/peers';

const UPGRADE_REQUIRED = 426;

/** Creates the transport over WebSocket, uncompressed. */
export function createWsTransport(options: WsTransportOptions): PeerTransport {
	const socketOptions = {perMessageDeflate: false, maxPayload: options.maxMessageBytes};
	const server = createServer((_req, res) => {
		res.writeHead(UPGRADE_REQUIRED).end();
	});
	let address = `${options.hostAddress}:${options.port}`;
	const webSockets = new WebSocketServer({server, path: PATH, ...socketOptions});

	return {
		get address() {
			return address;
		},
		async start(onChannel) {
			webSockets.on('connection', socket => {
				onChannel(createWsChannel(socket));
			});
			// The server's errors are emitted here too; those of the start reject below.
			webSockets.on('error', () => undefined);
			server.listen(options.port, options.hostAddress);
			await once(server, 'listening');
			const {port} = server.address() as AddressInfo;
			address = `${options.hostAddress}:${port}`;
		},
		connect(address) {
			try {
				return createWsChannel(new WebSocket(`ws://${address}${PATH}`, socketOptions));
			} catch (err) {
				// Thrown where the address is none, as in a record that another program wrote.
				return throwPeerUnreachable(address, err);
			}
		},
		async stop(ms) {
			webSockets.close();
			server.close();
			const ended = Promise.all([...webSockets.clients].map(async socket => once(socket, 'close')));
			await withinMs(options.clock, ms, ended);
			for (const socket of webSockets.clients) {
				socket.terminate();
			}

			server.closeAllConnections();
		},
	};
}

function createWsChannel(socket: WebSocket): PeerChannel {
	let listener: ChannelListener | undefined;
	let closedBy: string | undefined;
	let failure: string | undefined;

	const opened = new Promise<void>((resolve, reject) => {
		if (socket.readyState === WebSocket.OPEN) {
			resolve();
			return;
		}

		socket.once('open', resolve);
		socket.once('close', () => {
			reject(new Error(failure ?? 'closed before it was open'));
		});
	});
	opened.catch(() => undefined);

	socket.on('message', data => {
		listener?.onMessage(data as Uint8Array);
	});
	socket.on('pong', () => {
		listener?.onPong?.();
	});
	socket.on('error', err => {
		failure = err.message;
	});
	socket.on('close', () => {
		closedBy = failure ?? 'the link broke';
		listener?.onClose(closedBy);
	});

	return {
		opened,
		get bufferedBytes() {
			return socket.bufferedAmount;
		},
		send(message) {
			socket.send(message);
		},
		ping() {
			socket.ping();
		},
		close() {
			socket.close();
		},
		terminate() {
			socket.terminate();
		},
		listen(next) {
			listener = next;
			if (closedBy !== undefined) {
				next.onClose(closedBy);
			}
		},
	};
}
