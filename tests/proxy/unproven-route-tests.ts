import {expect} from 'chai';
import type {Route, Routing} from '../../src/routes/routing.js';
import {createProxyBench, ROUTES, type ProxyBench} from './proxy-bench.js';

const ADDED: Route = {...ROUTES[1]!, name: 'added', database: 'added'};
const ADDED_LATER: Route = {...ADDED, name: 'later', database: 'later'};

/** Time after which a host is polled again that did not respond once, in milliseconds, and a second more. */
const NO_LONGER_AVOIDED_MS = 6000;

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
});
