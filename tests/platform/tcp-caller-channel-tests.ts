import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import type {CallerChannel} from '../../src/gateway/caller-channel.js';
import {createGracefulClose} from '../../src/gateway/graceful-close.js';
import {STOPPING} from '../../src/gateway/stop-answers.js';
import {createTcpCallerChannel} from '../../src/platform/tcp-caller-channel.js';

describe('TCP caller channel', () => {
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

	it('returns requests one by one, however the stream is split into chunks', async () => {
		caller.write('STARTUP nights u1\r\nQUERY a RE');
		expect(await channel.next()).to.deep.equal({kind: 'open', database: 'nights', key: 'u1'});
		caller.write('AD x\r\nTERMINATE\r\n');
		expect(await channel.next()).to.deep.equal({kind: 'statement', id: 'a', statement: {kind: 'run', access: 'read', text: 'READ x'}});
		expect(await channel.next()).to.deep.equal({kind: 'end'});
	});

	/**
	 * A host stops and ends an idle session while the caller's next statement is on its way. That statement can get no answer any more.
	 * If it ran, a write would take effect that its caller then sends again to another host.
	 */
	it('returns no request that arrives after the channel is closed', async () => {
		const next = channel.next();
		channel.close();
		caller.write('QUERY a WRITE x 1\r\n');
		await once(caller.resume(), 'end');
		expect([await next, await channel.next()]).to.deep.equal([undefined, undefined]);
	});

	/**
	 * A host stops and ends an idle session while a statement of it is unread in the socket. If the host only closes the connection, the statement gets no
	 * answer. A graceful close sends the error first and, once the statement is read, the session state that completes the answer.
	 */
	it('answers a request that was on its way when the graceful close began', async () => {
		const closing = createGracefulClose(channel, STOPPING, false);
		caller.write('QUERY a WRITE x 1\r\n');
		const req = await channel.next();
		const refusal = req?.kind === 'statement' && closing.refuse(req.statement);
		channel.close();
		const chunks = await caller.setEncoding('latin1').toArray() as string[];
		const line = `ERROR BUSY ${STOPPING.end.text}\r\n`;
		expect([refusal, chunks.join('')]).to.deep.equal([STOPPING, `${line}READY I -\r\n${line}`]);
	});

	it('preserves the bytes of statements', async () => {
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
