import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect} from 'chai';
import {startLocalPlatform, type LocalPlatform} from '../../src/stand-ins/plain-platform/local-platform.js';
import {openWireCaller} from '../../src/stand-ins/plain-platform/wire-caller.js';

/** Runs the built program as a process against the stand-ins, over real sockets. */
describe('session values of callers', () => {
	const valuesById = new Map<string, Readonly<Record<string, string>>>();
	let platform: LocalPlatform;

	before(async () => {
		platform = await startLocalPlatform({
			onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			onCommit() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			onStatement({id, values}) {
				valuesById.set(id, Object.fromEntries(values));
			},
		});
	});

	after(async () => {
		await platform.stop();
	});

	function doTest(end: 'COMMIT' | 'ROLLBACK') {
		it(`are in force for a ${end} that follows them`, async () => {
			const proxy = await platform.startProxy(`entry-${end}`);
			const caller = await openWireCaller(proxy.callerPort, 'sync');
			await caller.ask(`s1-${end}`, 'SET zone v1');
			await caller.ask(`b1-${end}`, 'BEGIN');
			await caller.ask(`w1-${end}`, 'WRITE i 7');
			await caller.ask(`s2-${end}`, 'SET zone v2');
			await caller.ask(`s3-${end}`, 'SET lang v3');
			await caller.ask(end, end);
			// The caller's rollback is answered before the endpoint has run it.
			while (!valuesById.has(end)) {
				await nextTurn();
			}

			caller.leave();
			expect(valuesById.get(`w1-${end}`)).to.deep.equal({zone: 'v1'});
			expect(valuesById.get(end)).to.deep.equal({zone: 'v2', lang: 'v3'});
		});
	}

	/** The values that were set last in a transaction were missing at its end. */
	doTest('COMMIT');
	doTest('ROLLBACK');
});
