import {expect} from 'chai';
import type {Route, Routing} from '../../src/routes/routing.js';
import {createProxyBench, ROUTES, type ProxyBench} from './proxy-bench.js';

const ADDED: Route = {...ROUTES[1]!, name: 'added', database: 'added'};
const ADDED_LATER: Route = {...ADDED, name: 'later', database: 'later'};

/** Time after which a host is polled again that did not respond once, in milliseconds, and a second more. */
const NO_LONGER_AVOIDED_MS = 6000;

/** Age of a confirmation at a host whose source is current, in milliseconds: two intervals, after which it would ask peers. */
const MAX_AGE_AT_A_CURRENT_SOURCE_MS = 1400;

function createRouting(version: number, routes: readonly Route[]): Routing {
	return {
		version, routes: new Map(routes.map(route => [route.database, route])), groups: new Map([['nights', {name: 'nights', maxConnections: 22}]]), workspaces: new Map(), idleTransactionMs: 3000,
	};
}

/** Opens a session at a host and returns how it was refused and after which time, or that it was opened. */
async function open({clock, open: openAt, system}: ProxyBench, host: string, database: string) {
	const askedAt = clock.now();
	const caller = await openAt(system.proxies.findLast(({name}) => name === host)!, database);
	return {result: caller.refusal ?? 'opened', tookMs: clock.now() - askedAt, caller};
}

async function tryOpen(bench: ProxyBench, host: string, database: string) {
	const {result} = await open(bench, host, database);
	return result;
}

describe('a database without a route in the configuration that a host holds', () => {
	it('is refused as unknown once the store has confirmed that, without a call of its own', async () => {
		const bench = await createProxyBench({proxies: 3});
		const before = bench.system.store.calls;
		const {result, tookMs} = await open(bench, 'entry-3', 'never');
		expect(result).to.equal('unknown-database');
		expect(tookMs).to.be.at.most(1000);
		expect(bench.system.store.calls - before).to.be.at.most(2);
		bench.system.stop();
	});

	it('is served where its route was added just before', async () => {
		const bench = await createProxyBench({proxies: 3});
		bench.system.store.setRouting(createRouting(2, [...ROUTES, ADDED]));
		expect(await tryOpen(bench, 'entry-3', 'added')).to.equal('opened');
		bench.system.stop();
	});

	/** Hosts that the store turns away confirm together that no primary changes, which proves nothing about routes. */
	it('is refused as busy while the store turns all hosts away: its route may have been added', async () => {
		const bench = await createProxyBench({proxies: 3});
		bench.system.store.setFaults(undefined, {refused: true});
		bench.system.store.setRouting(createRouting(2, [...ROUTES, ADDED]));
		await bench.clock.advance(3500);
		for (const host of ['entry-1', 'entry-2', 'entry-3']) {
			const {result, tookMs} = await open(bench, host, 'added');
			expect(result).to.equal('overloaded');
			expect(tookMs).to.be.at.most(1000);
		}

		bench.system.store.heal();
		await bench.clock.advance(2000);
		expect(await tryOpen(bench, 'entry-3', 'added')).to.equal('opened');
		bench.system.stop();
	});

	it('is refused soon where the store has confirmed nothing for long: waiting would not help', async () => {
		const bench = await createProxyBench({proxies: 3});
		bench.system.store.setFaults(undefined, {silent: true});
		await bench.clock.advance(5000);
		const {result, tookMs} = await open(bench, 'entry-2', 'never');
		expect([result, tookMs <= 150]).to.deep.equal(['overloaded', true]);
		bench.system.stop();
	});

	/** A session outlives its route, and the route may have been added again in a version that its host has not learnt of. */
	it('is refused as busy to a session that was open before its route was dropped, while the store turns all hosts away', async () => {
		const bench = await createProxyBench({proxies: 3});
		const {store} = bench.system;
		store.setRouting(createRouting(2, [...ROUTES, ADDED]));
		await bench.clock.advance(1500);
		const {caller} = await open(bench, 'entry-3', 'added');
		store.setRouting(createRouting(3, ROUTES));
		await bench.clock.advance(1500);
		store.setFaults(undefined, {refused: true});
		store.setRouting(createRouting(4, [...ROUTES, ADDED]));
		await bench.clock.advance(3500);
		expect(await bench.ask(caller, 'READ a')).to.equal('overloaded idle');
		expect(await bench.ask(caller, 'BEGIN')).to.equal('overloaded idle');
		store.heal();
		await bench.clock.advance(2000);
		expect(await bench.ask(caller, 'READ a')).to.match(/^done/v);
		bench.system.stop();
	});

	/** Guards against a host that learns of nothing: the one it polls has just started, is turned away as well, and answers without knowing anything. */
	it('has its route added soon at a host that polls one that knows nothing', async () => {
		const bench = await createProxyBench({proxies: 6});
		const {system, clock} = bench;
		const {store} = system;
		// Of the zone of entry-2 and entry-5, the second polls the first.
		const parent = system.proxies.find(({name}) => name === 'entry-2')!;
		system.kill(parent);
		store.setFaults('entry-2', {refused: true});
		store.setFaults('entry-5', {refused: true});
		await clock.runUntil(system.startProxy('entry-2'));
		await clock.advance(NO_LONGER_AVOIDED_MS);
		store.setRouting(createRouting(2, [...ROUTES, ADDED]));
		await clock.advance(3000);
		expect(await tryOpen(bench, 'entry-5', 'added')).to.equal('opened');
		store.setRouting(createRouting(3, [...ROUTES, ADDED, ADDED_LATER]));
		await clock.advance(3000);
		expect(await tryOpen(bench, 'entry-5', 'later')).to.equal('opened');
		system.stop();
	});

	/** Guards against a host that goes on polling one which is as little in touch as itself: cut off from all others, but not from this one. */
	it('has its route added soon at a host whose source is cut off from all others', async () => {
		const bench = await createProxyBench({proxies: 6});
		const {system, clock} = bench;
		for (const name of ['entry-2', 'entry-5']) {
			system.store.setFaults(name, {refused: true});
		}

		for (const name of ['entry-1', 'entry-3', 'entry-4', 'entry-6']) {
			system.network.setFaultsBetween('entry-2:7000', `${name}:7000`, {cut: true});
		}

		await clock.advance(500);
		system.store.setRouting(createRouting(2, [...ROUTES, ADDED]));
		await clock.advance(3000);
		expect(await tryOpen(bench, 'entry-5', 'added')).to.equal('opened');
		system.stop();
	});

	/** Guards against asking all peers again and again, each of which reads the store, for as long as the source stays behind. */
	it('has its host leave a source that is behind, rather than ask peers each time', async () => {
		const bench = await createProxyBench({proxies: 6});
		const {system, clock} = bench;
		system.kill(system.proxies.find(({name}) => name === 'entry-2')!);
		for (const name of ['entry-2', 'entry-5']) {
			system.store.setFaults(name, {refused: true});
		}

		await clock.runUntil(system.startProxy('entry-2'));
		const mirror = system.proxies.find(({name}) => name === 'entry-5')!.kernel.getOrThrow('storeMirror');
		await clock.advance(NO_LONGER_AVOIDED_MS);
		let maxAgeMs = 0;
		for (let passedMs = 0; passedMs < 10_000; passedMs += 50) {
			await clock.advance(50);
			maxAgeMs = Math.max(maxAgeMs, clock.now() - mirror.routingConfirmedAt!);
		}

		expect(maxAgeMs).to.be.lessThan(MAX_AGE_AT_A_CURRENT_SOURCE_MS);
		system.stop();
	});
});

describe('a route that a host holds', () => {
	/** The operator may have dropped it meanwhile: the store may turn the hosts away and serve the operator. */
	it('is not served once the store has confirmed no host for longer than the deployment allows, but in transactions that have begun', async () => {
		const bench = await createProxyBench({proxies: 3, maxRoutingAgeMs: 5000});
		const {caller: idle} = await open(bench, 'entry-2', 'review');
		const {caller: inTransaction} = await open(bench, 'entry-2', 'review');
		expect(await bench.ask(inTransaction, 'BEGIN READ')).to.equal('done open');
		bench.system.store.setFaults(undefined, {refused: true});
		await bench.clock.advance(2500);
		expect(await bench.ask(inTransaction, 'READ a')).to.match(/^done/v);
		await bench.clock.advance(2400);
		expect(await bench.ask(inTransaction, 'READ a')).to.match(/^done/v);
		expect(await tryOpen(bench, 'entry-2', 'review')).to.equal('overloaded');
		expect(await bench.ask(idle, 'READ a')).to.equal('overloaded idle');
		expect(await bench.ask(idle, 'BEGIN')).to.equal('overloaded idle');
		bench.system.store.heal();
		await bench.clock.advance(1500);
		expect(await bench.ask(idle, 'READ a')).to.match(/^done/v);
		bench.system.stop();
	});

	/** What hosts confirm together keeps primaries in use in an outage; it does not show that a later configuration is pending. */
	it('is served at the primary throughout an outage of the store that is shorter than the bound', async () => {
		const bench = await createProxyBench({proxies: 3, maxRoutingAgeMs: 15_000});
		const {caller} = await open(bench, 'entry-2', 'sync');
		bench.system.store.setFaults(undefined, {refused: true});
		for (let i = 0; i < 7; i++) {
			await bench.clock.advance(1000);
			expect(await bench.ask(caller, `WRITE a ${i}`)).to.match(/^done/v);
		}

		bench.system.stop();
	});
});
