import {createLineLog} from '../../log/line-log.js';
import type {LogFields} from '../../log/log.js';
import {ReadPolicy} from '../../routes/routing.js';
import type {PlainGroup} from '../../stand-ins/plain-group/plain-group.js';
import type {PlainServer} from '../../stand-ins/plain-group/plain-server.js';
import {createScriptedCaller, type ScriptedCaller} from '../../stand-ins/proxies/scripted-caller.js';
import {createSimulatedProxies, type SimulatedProxies, type SimulatedProxy} from '../../stand-ins/proxies/simulated-proxies.js';
import {createVirtualClock, type VirtualClock} from '../../stand-ins/time/virtual-clock.js';
import {Access} from '../../statements/statement.js';
import type {LeaseStrategy} from './lease-strategies.js';

/** A line that a proxy logged, with the time in milliseconds. */
export type CapturedLogLine = {
	readonly at: number;
	readonly sentence: string;
	readonly fields: LogFields;
};

/** Nine simulated proxies in front of one group, with a steady stream of writes. */
export type PrimaryLossTestbed = {
	readonly clock: VirtualClock;
	readonly system: SimulatedProxies;
	readonly group: PlainGroup;
	readonly lines: CapturedLogLine[];
	/** Times at which writes were acknowledged, in milliseconds. */
	readonly acknowledgedAt: readonly number[];
	/** Times at which writes ended without an acknowledgement, in milliseconds. */
	readonly failedAt: readonly number[];
	getPrimary(): PlainServer;
	stop(): void;
};

const ZONES = ['zone-0', 'zone-1', 'zone-2'];

export const PROXIES = 9;

/** Interval between writes, in milliseconds; each goes to the next proxy in turn. */
export const WRITE_INTERVAL_MS = 10;

/** Maximum duration of a write, in milliseconds. */
const WRITE_TIMEOUT_MS = 1000;

/** Time before the writes start, in milliseconds: a host replaces no primary for 9 s after it has registered. */
const WARM_UP_MS = 10_000;

const GROUP = 'filings';

/** Starts the proxies and the writes, and resolves after 1 s of writes. A promotion takes `promoteMs` milliseconds. */
export async function startTestbed(seed: number, strategy: LeaseStrategy, promoteMs: number): Promise<PrimaryLossTestbed> {
	const clock = createVirtualClock();
	const lines: CapturedLogLine[] = [];
	const system = createSimulatedProxies({
		clock,
		seed,
		groups: [{
			name: GROUP, zones: ZONES, promoteMs, serviceMs: 2, lagMs: 60, maxConnections: 34, observer: {onRead() {}, onCommit() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
		}],
		routes: [{
			name: 'file', database: 'file', group: GROUP, policy: ReadPolicy.Primary, maxReadAgeMs: 0, statementTimeoutMs: WRITE_TIMEOUT_MS, targetLatencyMs: 200, priority: 1,
		}],
		log: createLineLog((sentence, fields) => {
			lines.push({at: clock.now(), sentence, fields});
		}),
		wrapStore: strategy.wrapStore,
		wrapPeers: strategy.wrapPeers,
	});
	for (let i = 1; i <= PROXIES; i++) {
		await clock.runUntil(system.startProxy(`entry-${i}`));
	}

	void strategy.run?.(system.proxies, clock);
	await clock.advance(WARM_UP_MS);
	const group = system.groups[0]!;
	const acknowledgedAt: number[] = [];
	const failedAt: number[] = [];
	let stopped = false;

	const idleCallers = new Map<SimulatedProxy, ScriptedCaller[]>();

	const getCaller = async (proxy: SimulatedProxy) => {
		const idleCaller = idleCallers.get(proxy)?.pop();
		if (idleCaller && !idleCaller.closed) {
			return idleCaller;
		}

		const caller = createScriptedCaller();
		void proxy.kernel.getOrThrow('gateway').serve(caller.channel);
		return await caller.open('file') ? caller : undefined;
	};

	const write = async (proxy: SimulatedProxy, id: string) => {
		const caller = await getCaller(proxy);
		const response = await caller?.ask(id, {kind: 'run', access: Access.Write, text: `WRITE filing ${id}`});
		if (response?.end.kind === 'complete') {
			acknowledgedAt.push(clock.now());
		} else {
			failedAt.push(clock.now());
		}

		if (caller) {
			idleCallers.set(proxy, [...idleCallers.get(proxy) ?? [], caller]);
		}
	};

	const writeContinuously = async () => {
		for (let i = 0; !stopped; i++) {
			const liveProxies = system.proxies.filter(({killed}) => !killed);
			void write(liveProxies[i % liveProxies.length]!, `w${i}`);
			await clock.sleep(WRITE_INTERVAL_MS);
		}
	};

	void writeContinuously();
	await clock.advance(1000);
	return {
		clock,
		system,
		group,
		lines,
		acknowledgedAt,
		failedAt,
		getPrimary: () => group.latestPrimary,
		stop() {
			stopped = true;
			system.stop();
		},
	};
}

/** Returns the longest time between two consecutive `times` within `since` and `until`, which count as the first and the last; in milliseconds. */
export function getLongestPause(times: readonly number[], since: number, until: number): number {
	const inside = [since, ...times.filter(at => at >= since && at <= until), until];
	return Math.max(...inside.slice(1).map((at, i) => at - inside[i]!));
}
