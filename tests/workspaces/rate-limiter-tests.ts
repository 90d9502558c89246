import {expect} from 'chai';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import type {Peers} from '../../src/peers/peers.js';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {createRateLimiter, type RateLimiter, type RateVerdict} from '../../src/workspaces/rate-limiter.js';
import {createTokenIssuer} from '../../src/workspaces/token-issuer.js';
import {createTokenSource} from '../../src/workspaces/token-source.js';
import type {RateLimit, Workspace} from '../../src/workspaces/workspace.js';

const HOSTS = 12;
const LIMIT: RateLimit = {ratePerSecond: 40, burst: 40};

/** What the users allow in a window of five seconds: a tenth above, and some. */
const WINDOW_MS = 5000;
const getAllowed = ({ratePerSecond, burst}: RateLimit) => (((ratePerSecond * WINDOW_MS / 1000) + burst) * 1.1) + 20;

type Asked = {readonly at: number; readonly tookMs: number; readonly verdict: RateVerdict};

/** Hosts whose callers ask for operations of one workspace by turns. */
function createBench() {
	const clock = createVirtualClock(0);
	const network = createPeerNetwork(clock);
	const hosts = Array.from({length: HOSTS}, (_, i) => ({name: `entry-${i}`, peerAddress: `entry-${i}:7000`, availabilityZone: `zone-${i % 3}`}));
	let limit = LIMIT;
	let calls = 0;
	const counting = new Set<string>();
	const asked: Asked[] = [];
	const limiters: RateLimiter[] = [];

	const count = (peers: Peers): Peers => ({
		async call(address, kind, req, timeoutMs) {
			calls++;
			counting.add(address);
			return peers.call(address, kind, req, timeoutMs);
		},
		handle: peers.handle,
	});

	const startHost = (i: number) => {
		const peers = network.addHost(hosts[i]!.peerAddress);
		peers.handle('host-alive', async () => ({alive: true as const}));
		limiters[i] = createRateLimiter({
			source: createTokenSource({
				peers: count(peers),
				unreachable: createUnreachableHosts(),
				clock,
				ownPeerAddress: hosts[i]!.peerAddress,
				issuer: createTokenIssuer({getLimit: () => limit}),
				getHosts: () => hosts,
			}),
			clock,
			countHosts: () => hosts.length,
		});
	};

	for (const i of hosts.keys()) {
		startHost(i);
	}

	const ask = async (host: number) => {
		const at = clock.now();
		const workspace: Workspace = {
			name: 'north', keys: [], priority: 0, limit,
		};
		const verdict = await limiters[host]!.take(workspace);
		asked.push({at, tookMs: clock.now() - at, verdict});
	};

	return {
		clock,
		network,
		hosts,
		startHost,
		get calls() {
			return calls;
		},
		/** Addresses of the hosts that were asked. */
		counting,
		setLimit(changed: RateLimit) {
			limit = changed;
		},
		/** Asks at an even rate, at all hosts by turns; those in `from` alone where that is given. */
		async play(ratePerSecond: number, ms: number, from = [...hosts.keys()]) {
			const first = asked.length;
			for (let i = 0; i < ratePerSecond * ms / 1000; i++) {
				void ask(from[i % from.length]!);
				await clock.advance(1000 / ratePerSecond);
			}

			await clock.advance(500);
			return asked.slice(first);
		},
		/** Most operations that were let in within any window. */
		getMost() {
			const times = asked.filter(({verdict}) => verdict.allowed).map(({at, tookMs}) => at + tookMs);
			return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + WINDOW_MS).length));
		},
	};
}

const getRefused = (asked: readonly Asked[]) => asked.filter(({verdict}) => !verdict.allowed);

describe('the rate limit of a workspace over all hosts', () => {
	it('refuses nothing below it', async () => {
		const bench = createBench();
		await bench.play(10, 3000);
		expect(getRefused(await bench.play(36, 10_000))).to.have.length(0);
	});

	it('refuses nothing of a burst after a rest', async () => {
		const bench = createBench();
		await bench.play(10, 5000);
		expect(getRefused(await bench.play(400, 90))).to.have.length(0);
	});

	it('lets the limit pass and no more at four times of it', async () => {
		const bench = createBench();
		await bench.play(10, 5000);
		const asked = await bench.play(160, 10_000);
		expect(asked.length - getRefused(asked).length).to.be.at.least(400);
		expect(bench.getMost()).to.be.at.most(getAllowed(LIMIT));
	});

	it('refuses at once, and calls callers back one after the other', async () => {
		const bench = createBench();
		const refused = getRefused(await bench.play(160, 5000));
		expect(Math.max(...refused.map(({tookMs}) => tookMs))).to.be.at.most(10);
		expect(refused.every(({verdict}) => !verdict.allowed && verdict.retryAfterMs > 0)).to.equal(true);
	});

	it('holds once it is lowered below the use', async () => {
		const bench = createBench();
		await bench.play(36, 5000);
		bench.setLimit({ratePerSecond: 8, burst: 8});
		await bench.play(36, 1000);
		const asked = await bench.play(36, 10_000);
		expect(asked.length - getRefused(asked).length).to.be.at.most(10.5 * 8 * 1.1);
	});

	/**
	 * The host that counts a hot workspace dies. The next one counts from nothing: with a full burst, the limit would be passed twice within one window, and
	 * without any tokens the workspace would be starved.
	 */
	it('holds when the host that counts dies, and starves nobody', async () => {
		const bench = createBench();
		await bench.play(60, 5000);
		const [first] = bench.counting;
		bench.network.kill(first!);
		const alive = bench.hosts.filter(({peerAddress}) => peerAddress !== first).map(host => bench.hosts.indexOf(host));
		const asked = await bench.play(60, 5000, alive);
		expect(asked.length - getRefused(asked).length).to.be.at.least(150);
		expect(bench.getMost()).to.be.at.most(getAllowed(LIMIT));
	});

	/** Hosts that reach none that counts would each let all of their callers pass, and one that counts would grant the limit to its own beside the next one, which grants it to all others. */
	function doCutTest(name: string, isCut: (host: number) => boolean) {
		it(`holds where ${name} reach no other host`, async () => {
			const bench = createBench();
			await bench.play(60, 5000);
			const {hosts} = bench;
			for (const [i, left] of hosts.entries()) {
				for (const right of hosts.filter(host => host !== left && (isCut(i) || isCut(hosts.indexOf(host))))) {
					bench.network.setFaultsBetween(left.peerAddress, right.peerAddress, {cut: true});
				}
			}

			await bench.play(240, 5000);
			expect(bench.getMost()).to.be.at.most(getAllowed(LIMIT));
		});
	}

	for (const third of [0, 1, 2]) {
		doCutTest(`a third of the hosts, those from ${third} on,`, host => host % 3 === third);
	}

	doCutTest('all hosts', () => true);

	it('asks less than once for each operation where one host has many', async () => {
		const bench = createBench();
		await bench.play(8, 3000, [3]);
		const before = bench.calls;
		const asked = await bench.play(8, 5000, [3]);
		expect(bench.calls - before).to.be.below(asked.length / 2);
	});
});
