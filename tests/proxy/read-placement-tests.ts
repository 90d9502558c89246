import {expect} from 'chai';
import {createLineLog} from '../../src/log/line-log.js';
import type {ProxyFeatures} from '../../src/proxy/proxy-features.js';
import {applyReceived} from '../../src/stand-ins/plain-group/plain-log.js';
import type {ScriptedAnswer, ScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import {slowDown} from './leaving-bench.js';
import {createProxyBench} from './proxy-bench.js';

const SCHEDULING: ProxyFeatures = {
	scheduling: {
		capacity: 1, poolHosts: 3, roomFactor: 1.5, leastShare: 0.1,
	},
};

/** Creates a bench that logs, with callers who send reads and writes to all of its hosts. */
async function createLoadedBench(features: ProxyFeatures | undefined = SCHEDULING) {
	const lines: string[] = [];
	const bench = await createProxyBench({
		features, log: createLineLog((sentence, fields) => {
			lines.push(`${sentence} ${JSON.stringify(fields)}`);
		}),
	});
	// Statements are long enough for the reads to keep a primary busy, which would else serve them itself.
	slowDown(bench, 90);
	const answers: Array<{readonly at: number; readonly answer: ScriptedAnswer | undefined}> = [];
	let lastId = 0;

	/** Sends 25 reads and 5 writes a second to each host, each in a session of its own. */
	const load = async (ms: number) => {
		const sessions = new Set<Promise<void>>();
		const send = async (caller: ScriptedCaller, text: string) => {
			const answer = await bench.send(caller, text, `load-${++lastId}`);
			answers.push({at: bench.clock.now(), answer});
			caller.leave();
		};

		for (let i = 0; i < ms / 20; i++) {
			for (const [host, proxy] of bench.proxies.entries()) {
				const isWrite = (i + host) % 10 === 0;
				if (isWrite || i % 2 === 0) {
					sessions.add(send(await bench.open(proxy, isWrite ? 'sync' : 'review'), isWrite ? 'WRITE a 1' : 'READ a'));
				}
			}

			await bench.clock.advance(20);
		}

		await bench.clock.runUntil(Promise.all(sessions));
	};

	const getReplicas = () => bench.group.servers.filter(server => server !== bench.getPrimary());
	/** Returns how many reads each server ran since a moment, as a length of `bench.ran`. */
	const countReads = (since: number) => {
		const counts = Object.fromEntries(bench.group.servers.map(({id}) => [id, 0]));
		for (const line of bench.ran.slice(since)) {
			const [id, what] = line.split(' ');
			counts[id!]! += what === 'read' ? 1 : 0;
		}

		return counts;
	};

	const countRefused = () => answers.filter(({answer}) => answer?.end.kind !== 'complete').length;
	return {
		bench, lines, load, getReplicas, countReads, countRefused,
	};
}

describe('reads of a group whose replicas all lag by more than the routes allow', () => {
	/**
	 * Each host tried the replicas in vain for as long as they lagged, and its predictions kept it from them for seconds after the lag had ended: the group's
	 * primary was full meanwhile, and callers were refused.
	 */
	it('are served, and by the replicas again within a second after the lag', async () => {
		const {bench, load, getReplicas, countReads, countRefused, lines} = await createLoadedBench();
		await load(1000);
		for (const server of getReplicas()) {
			server.lagMs = 3000;
		}

		await load(6000);
		for (const server of getReplicas()) {
			server.lagMs = 20;
			applyReceived(server.log, bench.clock.now());
		}

		await load(1000);
		const before = bench.ran.length;
		await load(1000);
		const {[bench.getPrimary().id]: atPrimary, ...atReplicas} = countReads(before);
		const replicaReads = Object.values(atReplicas).reduce((sum, count) => sum + count, 0);
		expect(countRefused()).to.equal(0);
		expect(replicaReads).to.be.greaterThan(0);
		expect(lines.filter(line => line.includes('a replica has reached the floor again'))).to.not.have.length(0);
		expect(atPrimary! + replicaReads).to.be.greaterThan(50);
	});

	// The gate and the predictions only choose where a read goes: an endpoint still verifies the floor.
	it('still see the writes of their own session', async () => {
		const {bench, getReplicas} = await createLoadedBench();
		for (const server of getReplicas()) {
			server.lagMs = 400;
		}

		const caller = await bench.open(bench.proxies[0]!, 'roster');
		for (let i = 0; i < 20; i++) {
			expect(await bench.ask(caller, `WRITE a v${i}`)).to.equal('done idle');
			expect(await bench.ask(caller, 'READ a')).to.equal(`done v${i} idle`);
		}
	});
});

describe('an endpoint that fails part of its reads while its health check passes', () => {
	/** Guards against a replica that fails every second read and gets its share of the reads for hours, since it answers each health check. */
	it('is ejected, with its reason in the log, and serves again after it has recovered', async () => {
		const {bench, load, getReplicas, countReads, lines} = await createLoadedBench();
		const [bad] = getReplicas();
		bad!.failShare = 0.6;
		await load(6000);
		const ejections = lines.filter(line => line.includes('an endpoint is ejected from reads'));
		expect(ejections.filter(line => line.includes(`"endpoint":"${bad!.id}"`) && line.includes('"reason":"errors"'))).to.not.have.length(0);
		expect(ejections.filter(line => !line.includes(bad!.id))).to.deep.equal([]);
		bad!.failShare = 0;
		await load(8000);
		const before = bench.ran.length;
		await load(3000);
		expect(countReads(before)[bad!.id]).to.be.greaterThan(10);
	});

	it('is treated as before where the feature is off', async () => {
		const {load, getReplicas, lines} = await createLoadedBench({});
		getReplicas()[0]!.failShare = 0.6;
		await load(3000);
		expect(lines.filter(line => line.includes('placement: '))).to.deep.equal([]);
	});
});
