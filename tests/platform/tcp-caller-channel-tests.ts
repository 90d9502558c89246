import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import type {CallerChannel} from '../../src/gateway/caller-channel.js';
import {createGracefulClose} from '../../src/gateway/graceful-close.js';
import {STOPPING} from '../../src/gateway/stop-answers.js';
import {createTcpCallerChannel} from '../../src/platform/tcp-caller-channel.js';

describe('a caller\'s connection', () => {
	let server: Server;
	let caller: Socket;
	let channel: CallerChannel;

	beforeEach(async () => {
		server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
		const [socket] = await once(server, 'connection') as [Socket];
		channel = createTcpCallerChannel(socket);
	});

	afterEach(() => {
		caller.destroy();
		server.close();
	});

	it('gives requests out one by one, however they were cut', async () => {
		caller.write('STARTUP nights u1\r\nQUERY a RE');
		expect(await channel.next()).to.deep.equal({kind: 'open', database: 'nights', key: 'u1'});
		caller.write('AD x\r\nTERMINATE\r\n');
		expect(await channel.next()).to.deep.equal({kind: 'statement', id: 'a', statement: {kind: 'run', access: 'read', text: 'READ x'}});
		expect(await channel.next()).to.deep.equal({kind: 'end'});
	});

	/**
	 * A host is stopped and ends an idle session. The caller's next statement crosses that end: it can get no answer any more.
	 * Run all the same, a write would take effect that its caller sends again elsewhere.
	 */
	it('gives out no request that crosses its end', async () => {
		const next = channel.next();
		channel.close();
		caller.write('QUERY a WRITE x 1\r\n');
		await once(caller.resume(), 'end');
		expect([await next, await channel.next()]).to.deep.equal([undefined, undefined]);
	});

	/**
	 * A host is stopped and ends an idle session while a statement of it is unread in the socket. Closed by the host, the connection ended without an answer.
	 * Told first, the caller has an error and then, once its statement was read, the state that makes it a whole answer.
	 */
	it('answers a request that was on its way when the session\'s end was told', async () => {
		const closing = createGracefulClose(channel, STOPPING, false);
		caller.write('QUERY a WRITE x 1\r\n');
		const req = await channel.next();
		const told = req?.kind === 'statement' && closing.refuse(req.statement);
		channel.close();
		const chunks = await caller.setEncoding('latin1').toArray() as string[];
		const line = `ERROR BUSY ${STOPPING.end.text}\r\n`;
		expect([told, chunks.join('')]).to.deep.equal([STOPPING, `${line}READY I -\r\n${line}`]);
	});

	it('keeps the bytes of data as they are', async () => {
		caller.write(Uint8Array.from([...[...'QUERY a WRITE x '].map(letter => letter.codePointAt(0)!), 0xC3, 0xA9, 0xFF, 13, 10]));
		const req = await channel.next();
		expect(req).to.deep.equal({kind: 'statement', id: 'a', statement: {kind: 'run', access: 'write', text: 'WRITE x \u00C3\u00A9\u00FF'}});
	});

	it('notices that the caller has left', async () => {
		caller.destroy();
		expect(await channel.next()).to.equal(undefined);
		expect(channel.left).to.equal(true);
	});
});
