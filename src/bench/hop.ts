import {createOwning} from '../membership/create-owning.js';
import {startLocalSystem, type LocalProxy, type LocalSystem} from '../stand-ins/processes/local-system.js';
import type {Experiment, ExperimentOptions, Measure} from './experiment.js';
import {runCallerLoad, sendRequest} from './load/caller-load.js';
import {getProcessorSeconds} from './load/daemon-metrics.js';
import {createMeasure, getPercentile} from './statistics.js';

const GROUP = 'sleep-logs';
const ZONES = ['hall-a', 'hall-b', 'hall-c'];
/** Servers with spare capacity, so that the daemons limit the throughput and not the stand-in's slots. */
const SERVERS = {connections: 200, slots: 64, serviceMs: 0};
const WARM_UP_MS = 3000;
const LATENCY_CALLERS = 2;
const LATENCY_MS = 2000;
const THROUGHPUT_CALLERS = 64;
const THROUGHPUT_MS = 3000;

/** Measures reads and writes sent directly to the owner and through another entry, both in each round. */
export const hop: Experiment = {
	name: 'hop',
	description: 'Cost of the second hop, and requests a second that one daemon core carries; real processes on loopback.',
	async run(options) {
		const system = await startLocalSystem({
			proxies: 2,
			availabilityZones: ZONES,
			groups: [{
				name: GROUP, availabilityZones: ZONES, lagMs: 1, config: {owners: 1}, ...SERVERS,
			}],
		});
		try {
			return {
				name: hop.name,
				description: hop.description,
				seeds: options.seeds,
				setting: {
					proxies: 2, owners: 1, latencyCallers: LATENCY_CALLERS, throughputCallers: THROUGHPUT_CALLERS, ...SERVERS,
				},
				measures: await measureRounds(system, options),
				baselines: [],
				plots: [],
			};
		} finally {
			await system.stop();
		}
	},
};

type RequestPath = {
	readonly name: 'owner' | 'hop';
	readonly entry: LocalProxy;
};

type Figures = Map<string, number[]>;

async function measureRounds(system: LocalSystem, options: ExperimentOptions): Promise<Measure[]> {
	const owner = findOwner(system);
	const other = system.proxies.find(proxy => proxy !== owner)!;
	const paths: RequestPath[] = [{name: 'owner', entry: owner}, {name: 'hop', entry: other}];
	const written = await sendRequest({callerUrl: owner.callerUrl, group: GROUP, session: 'new'}, createWrite(0));
	const session = String(written.session);
	const figures: Figures = new Map();
	for (const path of paths) {
		await runLoad(path, session, 'read', THROUGHPUT_CALLERS, WARM_UP_MS);
		await runLoad(path, session, 'write', THROUGHPUT_CALLERS, WARM_UP_MS);
	}

	for (const round of options.seeds) {
		options.report(`hop: round ${round}`);
		for (const kind of ['read', 'write'] as const) {
			await measureLatency(paths, session, kind, figures);
			await measureThroughput(paths, owner, session, kind, figures);
		}
	}

	return [...figures].map(([name, values]) => createMeasure(name, getUnit(name), values));
}

async function measureLatency(paths: readonly RequestPath[], session: string, kind: 'read' | 'write', figures: Figures) {
	const medians: number[] = [];
	for (const path of paths) {
		const {latenciesMs} = await runLoad(path, session, kind, LATENCY_CALLERS, LATENCY_MS);
		medians.push(getPercentile(latenciesMs, 0.5));
		record(figures, `${kind} at ${path.name}, p50`, getPercentile(latenciesMs, 0.5));
		record(figures, `${kind} at ${path.name}, p99`, getPercentile(latenciesMs, 0.99));
	}

	record(figures, `${kind}, the hop adds at p50`, medians[1]! - medians[0]!);
}

async function measureThroughput(paths: readonly RequestPath[], owner: LocalProxy, session: string, kind: 'read' | 'write', figures: Figures) {
	for (const path of paths) {
		const daemons = path.entry === owner ? [owner] : [path.entry, owner];
		const before = await Promise.all(daemons.map(async daemon => getProcessorSeconds(daemon)));
		const {requestsPerSecond, latenciesMs, otherStatuses} = await runLoad(path, session, kind, THROUGHPUT_CALLERS, THROUGHPUT_MS);
		const after = await Promise.all(daemons.map(async daemon => getProcessorSeconds(daemon)));
		const successful = latenciesMs.length;
		record(figures, `${kind} at ${path.name}, requests/s`, requestsPerSecond);
		record(figures, `${kind} at ${path.name}, answers other than 200`, Object.values(otherStatuses).length === 0 ? 0 : Math.max(...Object.values(otherStatuses)));
		for (const [index, daemon] of daemons.entries()) {
			const role = daemon === owner ? 'owner' : 'entry';
			record(figures, `${kind} at ${path.name}, requests per core second of the ${role}`, successful / (after[index]! - before[index]!));
		}
	}
}

async function runLoad({entry}: RequestPath, session: string, kind: 'read' | 'write', callers: number, durationMs: number) {
	return runCallerLoad({
		callerUrl: entry.callerUrl, group: GROUP, callers, durationMs, session, createBody: kind === 'read' ? createRead : createWrite,
	});
}

function createRead() {
	return {kind: 'read', statement: 'SELECT score FROM nights WHERE member = $1', values: ['m-0']};
}

function createWrite(index: number) {
	return {kind: 'write', statement: 'INSERT INTO nights (member, score) VALUES ($1, $2)', values: [`m-${index}`, 41]};
}

function findOwner(system: LocalSystem): LocalProxy {
	const all = system.proxies.map(({host}) => host);
	const owning = createOwning({
		hosts: {
			self: all[0]!, getAll: () => all, getUsable: () => all, reportUnreachable: ignore, reportReachable: ignore, reportLeaving: ignore, isEndpointLeaving: () => false,
		},
		getGroupZones: () => ZONES,
	});
	const [owner] = owning.getOwners(GROUP, 1, 0);
	return system.getProxyOrThrow(owner!.name);
}

function ignore() {
	// The host list of this experiment never changes.
}

function getUnit(name: string): string {
	if (name.includes('p50') || name.includes('p99')) {
		return 'ms';
	}

	return name.includes('core second') ? 'requests/core-s' : 'requests/s';
}

function record(figures: Figures, name: string, value: number) {
	const values = figures.get(name) ?? [];
	figures.set(name, [...values, value]);
}
