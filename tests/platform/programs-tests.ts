import {expect} from 'chai';
import {startLocalPlatform, type LocalPlatform} from '../../src/stand-ins/plain-platform/local-platform.js';
import {openWireCaller, type WireCaller} from '../../src/stand-ins/plain-platform/wire-caller.js';

/** Sends a statement and resolves with the first lines of its answer. */
async function sendStatement(caller: WireCaller, id: string, text: string, count: number) {
	const lines = await caller.ask(id, text);
	return lines.slice(0, count);
}

/** Runs the built program as a process against the stand-ins, over real sockets. No check depends on time. */
describe('the proxy as a program', () => {
	const ran: string[] = [];
	let platform: LocalPlatform;

	before(async () => {
		platform = await startLocalPlatform({
			onRead({id}) {
				ran.push(id);
			},
			onCommit(_commit, _server, id) {
				ran.push(id);
			},
		});
	});

	after(async () => {
		await platform.stop();
	});

	it('serves sessions, answers malformed statements with an error, and stops gracefully', async () => {
		const proxy = await platform.startProxy('entry-1');
		const caller = await openWireCaller(proxy.callerPort, 'roster');
		expect(caller.greeting).to.deep.equal(['READY I -']);
		expect(await sendStatement(caller, 'w1', 'WRITE a 7', 1)).to.deep.equal(['COMPLETE sign-w1']);
		expect(await sendStatement(caller, 'r1', 'READ a', 2)).to.deep.equal(['DATAROW 7', 'COMPLETE sign-r1']);
		expect(await caller.ask('x1', 'DROP a')).to.deep.equal(['ERROR MALFORMED the statement is not understood', 'READY I -']);
		expect(await caller.ask('b1', 'BEGIN')).to.deep.equal(['COMPLETE -', 'READY T -']);
		expect(await sendStatement(caller, 'w2', 'WRITE a 8', 1)).to.deep.equal(['COMPLETE sign-w2']);
		expect(await caller.ask('c1', 'ROLLBACK')).to.deep.equal(['COMPLETE -', 'READY I -']);

		const rejectedCaller = await openWireCaller(proxy.callerPort, 'nowhere');
		expect(rejectedCaller.greeting).to.deep.equal(['ERROR NOSUCHDB no route has this name']);

		const res = await fetch(`http://127.0.0.1:${proxy.metricsPort}/metrics`);
		expect(await res.text()).to.match(/aldercroft_statements_total\{kind="run",outcome="done"\} 3/v);

		const code = await proxy.end('SIGTERM');
		expect(code).to.equal(0);
		// The process may end before or after its connections.
		await caller.whenClosed();
		expect(caller.unsolicited).to.equal('ERROR BUSY retry-after-ms=50 the host is stopping; nothing ran');
		expect(ran.filter(id => id === 'w1')).to.deep.equal(['w1']);
		expect(proxy.lines.map(line => (JSON.parse(line) as {msg: string}).msg)).to.include.members(['serving', 'leaving', 'left']);
	});

	/** A caller sends an incomplete line, a line over the limit, or no startup message. Only its own connection may end. */
	it('closes connections that violate the protocol and serves the others', async () => {
		const proxy = await platform.startProxy('entry-2');
		const good = await openWireCaller(proxy.callerPort, 'sync');
		const long = await openWireCaller(proxy.callerPort, 'sync');
		expect(await long.ask('l1', `READ ${'a'.repeat(1_100_000)}`)).to.deep.equal(['ERROR TOOBIG the message is not understood']);
		const half = await openWireCaller(proxy.callerPort, 'sync');
		half.send('QUERY h1 WRI');
		half.leave();
		const bare = await openWireCaller(proxy.callerPort, 'sync');
		expect(await bare.ask('', '')).to.deep.equal(['ERROR MALFORMED the message is not understood']);
		expect(await sendStatement(good, 'w9', 'WRITE b 1', 1)).to.deep.equal(['COMPLETE sign-w9']);
		await proxy.end('SIGKILL');
	});
});
