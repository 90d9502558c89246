import {expect} from 'chai';
import {createWriteGate} from '../../src/owners/write-gate.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

describe('write gate', () => {
	it('waits for those inside and keeps others out until it is opened', async () => {
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

	// The proxy that holds the writes of a switchover dies. Filings would wait for it for ever: the hold must end
	// by itself, and an earlier holder that wakes up must not open a later one's hold.
	it('opens by itself, and only for its own holder', async () => {
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
