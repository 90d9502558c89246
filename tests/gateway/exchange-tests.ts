import {expect} from 'chai';
import type {AcquiredLink} from '../../src/gateway/acquire-link.js';
import {exchangeStatement} from '../../src/gateway/exchange.js';
import type {GatewayParts} from '../../src/gateway/gateway-parts.js';
import {createSessionMemory, rememberStatement} from '../../src/gateway/session-memory.js';
import type {NeededSession, SessionRequest} from '../../src/links/link-session.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {SessionState} from '../../src/statements/statement.js';
import {getFingerprint} from '../../src/workspaces/key-index.js';

describe('a statement of a session', () => {
	/** A read that waited at another host when its caller had been answered ran under a value that the caller set later. */
	it('needs the values that were set when it was sent, whatever is set afterwards', async () => {
		const clock = createVirtualClock();
		const memory = createSessionMemory('roster', getFingerprint(''));
		rememberStatement(memory, {kind: 'set', name: 'v', value: '1'});
		let needed: NeededSession | undefined;
		const acquired = {
			endpoint: {entry: {id: 'i-1', group: 'nights'}},
			predictedWaitMs: 0,
			sessionLink: {
				async exchange(_req: SessionRequest, wanted: NeededSession) {
					needed = wanted;
					return {rows: [], end: {kind: 'complete'}, state: SessionState.Idle};
				},
			},
		} as unknown as AcquiredLink;
		const parts = {
			clock, elapsedClock: {elapsed: () => clock.now()}, primaryLeases: {}, knowledge: {getStats: () => ({noteAnswer() {}, noteHeld() {}})}, // eslint-disable-line @typescript-eslint/no-empty-function
		} as unknown as GatewayParts;

		await clock.runUntil(exchangeStatement(parts, acquired, memory, {id: 'c1', statement: {kind: 'run', access: 'read', text: 'READ a'}, timeoutMs: 100}));
		rememberStatement(memory, {kind: 'set', name: 'v', value: '2'});
		expect([...needed!.values]).to.deep.equal([['v', '1']]);
	});
});
