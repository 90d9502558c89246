import {createLineLog} from '../../log/line-log.js';
import type {LogFields} from '../../log/log.js';
import {ReadPolicy} from '../../routes/routing.js';
import type {PlainGroup} from '../../stand-ins/plain-group/plain-group.js';
import type {PlainServer} from '../../stand-ins/plain-group/plain-server.js';
import {createScriptedCaller, type ScriptedCaller} from '../../stand-ins/proxies/scripted-caller.js';
import {createSimulatedProxies, type SimulatedProxies, type SimulatedProxy} from '../../stand-ins/proxies/simulated-proxies.js';
import {createVirtualClock, type VirtualClock} from '../../stand-ins/time/virtual-clock.js';
import {Access} from '../../statements/statement.js';
import type {EvidenceWay} from './ways.js';

/** A line of the proxies' logs. */
export type CapturedLine = {
	readonly at: number;
	readonly sentence: string;
	readonly fields: LogFields;
};

/** Nine proxies before one group, with writes going in. */
export type LeadStage = {
	readonly clock: VirtualClock;
	readonly system: SimulatedProxies;
	readonly group: PlainGroup;
	readonly lines: CapturedLine[];
	/** Times at which a write was acknowledged. */
	readonly acknowledgedAt: readonly number[];
	/** Writes that were not done. */
	readonly failedAt: readonly number[];
	getPrimary(): PlainServer;
	stop(): void;
};

/** Availability zones of hosts and endpoints. */
const ZONES = ['zone-0', 'zone-1', 'zone-2'];

export const PROXIES = 9;

/** A write goes in so often, in milliseconds, at one proxy after the other. */
export const WRITE_EVERY_MS = 10;

/** Longest write, in milliseconds. */
const WRITE_TIMEOUT_MS = 1000;

/** Hosts that have just registered replace nothing for 9 s. */
const WARM_UP_MS = 10_000;

const GROUP = 'filings';

/** Opens a stage on which primaries may be lost; promoting takes `promoteMs`. */
export async function openLeadStage(seed: number, way: EvidenceWay, promoteMs: number): Promise<LeadStage> {
	const clock = createVirtualClock();
	const lines: CapturedLine[] = [];
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
		wrapStore: way.wrapStore,
		wrapPeers: way.wrapPeers,
	});
	for (let i = 1; i <= PROXIES; i++) {
		await clock.runUntil(system.startProxy(`entry-${i}`));
	}

	void way.run?.(system.proxies, clock);
	await clock.advance(WARM_UP_MS);
	const group = system.groups[0]!;
	const acknowledgedAt: number[] = [];
	const failedAt: number[] = [];
	let stopped = false;

	const idle = new Map<SimulatedProxy, ScriptedCaller[]>();

	const getCaller = async (proxy: SimulatedProxy) => {
		const known = idle.get(proxy)?.pop();
		if (known && !known.closed) {
			return known;
		}

		const caller = createScriptedCaller();
		void proxy.kernel.getOrThrow('gateway').serve(caller.channel);
		return await caller.open('file') ? caller : undefined;
	};

	const write = async (proxy: SimulatedProxy, id: string) => {
		const caller = await getCaller(proxy);
		const answer = await caller?.ask(id, {kind: 'run', access: Access.Write, text: `WRITE filing ${id}`});
		if (answer?.end.kind === 'complete') {
			acknowledgedAt.push(clock.now());
		} else {
			failedAt.push(clock.now());
		}

		if (caller) {
			idle.set(proxy, [...idle.get(proxy) ?? [], caller]);
		}
	};

	const writeOn = async () => {
		for (let i = 0; !stopped; i++) {
			const living = system.proxies.filter(({killed}) => !killed);
			void write(living[i % living.length]!, `w${i}`);
			await clock.sleep(WRITE_EVERY_MS);
		}
	};

	void writeOn();
	await clock.advance(1000);
	return {
		clock,
		system,
		group,
		lines,
		acknowledgedAt,
		failedAt,
		getPrimary: () => group.leader,
		stop() {
			stopped = true;
			system.stop();
		},
	};
}

/** Longest time between two neighbours, from `since` on, in milliseconds; to `until` where none follows. */
export function getLongestPause(times: readonly number[], since: number, until: number): number {
	const inside = [since, ...times.filter(at => at >= since && at <= until), until];
	return Math.max(...inside.slice(1).map((at, i) => at - inside[i]!));
}
