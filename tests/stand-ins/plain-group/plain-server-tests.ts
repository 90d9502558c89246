import {expect} from 'chai';
import {createPlainGroup} from '../../../src/stand-ins/plain-group/plain-group.js';
import {createVirtualClock} from '../../../src/stand-ins/time/virtual-clock.js';

const SLOW_MS = 2000;

describe('a plain server', () => {
	/**
	 * A host closes a connection while a write of a transaction runs on it, and reports to the caller that the transaction was rolled back. A server that then
	 * committed the write alone would make the report false, and every check of such reports would fail because of the stand-in instead of the host.
	 */
	it('commits nothing of a transaction whose connection ends while one of its writes runs', async () => {
		const clock = createVirtualClock();
		const committed: string[] = [];
		const group = createPlainGroup({
			clock,
			name: 'nights',
			zones: ['zone-0'],
			observer: {
				onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				onCommit(_commit, _server, id) {
					committed.push(id);
				},
			},
		});
		const [server] = group.servers;
		const listener = {onReceived() {}, onSent() {}, onAnswered() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
		const link = await clock.runUntil(group.open({endpointId: server!.id, address: server!.address, group: group.name}, listener, () => false));
		await clock.runUntil(link.exchange({id: 'b', command: {kind: 'begin', readOnly: false}}));
		server!.slowMs = SLOW_MS;
		const write = link.exchange({id: 'w', command: {kind: 'run', text: 'WRITE night 41'}}).catch(() => undefined);
		await clock.advance(SLOW_MS / 2);
		link.cut();
		await clock.advance(SLOW_MS);
		expect([await write, committed]).to.deep.equal([undefined, []]);
	});
});
