import {expect} from 'chai';
import {createProxyBench} from './proxy-bench.js';

const HOSTS = 9;

/** Time for which servers keep the connections of hosts that lost power, in milliseconds. */
const KEEP_DEAD_MS = 3000;

describe('a power loss of all hosts', () => {
	/**
	 * All nine hosts lose power under load and restart. The servers, which accept 22 connections each, keep those of the former
	 * processes for 3 s: if these had used all of the connections allowed to them, every caller would be refused for as long.
	 */
	it('leaves connections for the restarted hosts', async () => {
		const bench = await createProxyBench({proxies: HOSTS, maxConnections: 22});
		const {clock, system} = bench;
		const busy = await Promise.all(bench.proxies.flatMap(proxy => [0, 1, 2].map(async () => bench.open(proxy, 'sync'))));
		for (let round = 0; round < 5; round++) {
			const answers = busy.map(async caller => bench.send(caller, 'WRITE a 1'));
			await clock.runUntil(Promise.all(answers));
		}

		await clock.advance(5000);
		for (const proxy of bench.proxies.slice(0, HOSTS)) {
			system.powerOff(proxy);
		}

		const offAt = clock.now();
		for (let i = 1; i <= HOSTS; i++) {
			void system.startProxy(`entry-${i}`);
		}

		await clock.advance(300);
		const callers = await Promise.all(bench.proxies.slice(HOSTS).map(async proxy => bench.open(proxy, 'sync')));
		const answers = await Promise.all(callers.map(async caller => bench.ask(caller, 'WRITE b 1')));
		expect(answers).to.deep.equal(Array.from({length: HOSTS}, () => 'done idle'));
		expect(clock.now() - offAt).to.be.lessThan(KEEP_DEAD_MS / 2);
	});
});
