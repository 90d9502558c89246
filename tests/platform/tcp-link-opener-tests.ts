import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {expect} from 'chai';
import type {EndpointLink} from '../../src/links/endpoint-link.js';
import {createLineReader, MAX_LINE_BYTES} from '../../src/platform/line-reader.js';
import {createTcpLinkOpener} from '../../src/platform/tcp-link-opener.js';
import {createSystemClock} from '../../src/time/system-clock.js';

describe('a connection to an endpoint over TCP', () => {
	const received: string[] = [];
	let server: Server;
	let link: EndpointLink;

	before(async () => {
		server = createServer(socket => {
			const reader = createLineReader();
			socket.setEncoding('latin1');
			socket.on('error', () => {
				socket.destroy();
			});
			socket.on('data', (chunk: string) => {
				const lines = reader.push(chunk);
				if (!lines) {
					socket.destroy();
					return;
				}

				for (const line of lines) {
					received.push(line);
					socket.write(line.startsWith('STARTUP') ? 'READY I 3.7\r\n' : 'COMPLETE s\r\nREADY I 3.7\r\n');
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const opener = createTcpLinkOpener({clock: createSystemClock(), hostName: 'front-1'});
		link = await opener.open({address: `127.0.0.1:${port}`, group: 'nights', endpointId: 'i-1'}, 5000, {onSent() {}, onReceived() {}, onAnswered() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
	});

	after(() => {
		link.cut();
		server.close();
	});

	/** The log position before a read of nearly the maximum size took the message over it, and the endpoint ended the connection with all that was in flight on it. */
	it('refuses a request that would be over the size limit with its log position, and sends nothing of it', async () => {
		const text = 'READ '.padEnd(MAX_LINE_BYTES - 'QUERY c1 '.length, 'x');
		const before = received.length;
		const refused = await link.exchange({id: 'c1', command: {kind: 'run', text}, floor: {term: 3, position: 7}});
		expect([refused.end.kind === 'error' && refused.end.code, refused.unsent, refused.fitsWithoutFloor, received.length - before]).to.deep.equal(['too-large', true, true, 0]);
		const longer = await link.exchange({id: 'c12', command: {kind: 'run', text}, floor: {term: 3, position: 7}});
		expect([longer.end.kind === 'error' && longer.end.code, longer.fitsWithoutFloor]).to.deep.equal(['too-large', undefined]);

		const answered = await link.exchange({id: 'c1', command: {kind: 'run', text}});
		expect([answered.end.kind, received.at(-1)]).to.deep.equal(['complete', `QUERY c1 ${text}`]);
	});
});
