import {expect} from 'chai';
import {createKernel} from '../../src/kernel/kernel.js';
import type {Clock} from '../../src/time/clock.js';
import type {Random} from '../../src/random/random.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

describe('kernel', () => {
	it('starts services in order of registration and stops them in reverse order', async () => {
		const events: string[] = [];
		const traced = <S extends Record<keyof S, unknown>>(name: string, service: S) => ({
			...service,
			async start() {
				events.push(`start ${name}`);
			},
			async stop() {
				events.push(`stop ${name}`);
			},
		});
		const kernel = createKernel();
		kernel.register('clock', traced<Clock>('clock', createVirtualClock()));
		kernel.register('random', traced<Random>('random', createSeededRandom(1)));

		await kernel.start();
		await kernel.stop();

		expect(events).to.deep.equal(['start clock', 'start random', 'stop random', 'stop clock']);
	});

	it('names a service that is missing or registered twice', () => {
		const kernel = createKernel();
		expect(kernel.get('clock')).to.equal(undefined);
		expect(() => kernel.getOrThrow('clock')).to.throw('no service is registered as "clock"');
		kernel.register('clock', createVirtualClock());
		expect(() => {
			kernel.register('clock', createVirtualClock());
		}).to.throw('a service is registered as "clock" already');
	});
});
