import {expect} from 'chai';
import {createWriteGate} from '../../src/owners/write-gate.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

describe('write gate', () => {
	it('waits for the writes inside and holds back others until it is opened', async () => {
		const clock = createVirtualClock();
		const gate = createWriteGate(clock);
		const events: string[] = [];
		await gate.enter(clock.now() + 1000);
		const holding = (async () => {
			const open = await gate.hold(5000);
			events.push('held');
			return open;
		})();
		const entering = (async () => {
			const entered = await gate.enter(clock.now() + 4000);
			events.push(`entered ${entered}`);
		})();
		await clock.advance(100);
		expect(events).to.deep.equal([]);
		gate.leave();
		const open = await clock.runUntil(holding);
		expect(events).to.deep.equal(['held']);
		open();
		await clock.runUntil(entering);
		expect(events).to.deep.equal(['held', 'entered true']);
	});

	// Guards against writes that wait forever when the proxy that holds them for a switchover fails, so the hold must
	// expire by itself. An earlier holder that resumes must not open the hold of a later one.
	it('opens when the hold expires, and otherwise only for its own holder', async () => {
		const clock = createVirtualClock();
		const gate = createWriteGate(clock);
		const openFirst = await clock.runUntil(gate.hold(1000));
		const openSecond = await clock.runUntil(gate.hold(2000));
		openFirst();
		expect(await clock.runUntil(gate.enter(clock.now() + 500))).to.equal(false);
		expect(await clock.runUntil(gate.enter(clock.now() + 5000))).to.equal(true);
		openSecond();
		expect(gate.inside).to.equal(1);
	});
});
