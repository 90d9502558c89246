import type {Log} from '../../src/log/log.js';
import type {ProxyFeatures} from '../../src/proxy/proxy-features.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import {createScriptedCaller, type ScriptedAnswer, type ScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import {createSimulatedProxies, type SimulatedProxies, type SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {PlainGroup} from '../../src/stand-ins/plain-group/plain-group.js';
import type {PlainServer} from '../../src/stand-ins/plain-group/plain-server.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import type {Workspace} from '../../src/workspaces/workspace.js';
import {parseStatement} from '../../src/platform/caller-lines.js';

/** A simulated system of one group and some proxies, with helpers that send statements and cause faults. */
export type ProxyBench = {
	readonly clock: VirtualClock;
	readonly system: SimulatedProxies;
	readonly group: PlainGroup;
	readonly proxies: readonly SimulatedProxy[];
	/** Reads and commits that endpoints ran, in order, as `SERVER read ID` or `SERVER commit ID`, with ` for WORKSPACE` where there is one. */
	readonly ran: string[];
	getPrimary(): PlainServer;
	/** Cuts off the first `count` proxies from the others and from the primary. */
	splitOff(count: number): void;
	/** Opens a session at a proxy, which reads each request of the caller `requestMs` milliseconds after it was sent; at once where it is undefined. */
	open(proxy: SimulatedProxy, database: string, requestMs?: number, key?: string): Promise<ScriptedCaller>;
	/** Sends a statement and advances the clock until it is answered. */
	ask(caller: ScriptedCaller, text: string, id?: string): Promise<string>;
	/** Sends a statement without advancing the clock. */
	send(caller: ScriptedCaller, text: string, id?: string): Promise<ScriptedAnswer | undefined>;
};

/** The bench's routes; each has the name of its database. */
export const ROUTES: readonly Route[] = [
	{name: 'sync', policy: ReadPolicy.Primary, maxReadAgeMs: 0},
	{name: 'review', policy: ReadPolicy.Bounded, maxReadAgeMs: 1500},
	{name: 'roster', policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500},
].map(route => ({
	...route, database: route.name, group: 'nights', statementTimeoutMs: 1000, targetLatencyMs: 200, priority: 1,
}));

/** Options of a bench. */
export type ProxyBenchOptions = {
	readonly proxies?: number;
	readonly lagMs?: number;
	readonly maxConnections?: number;
	/** Number of statements that each server runs concurrently; unlimited without it. */
	readonly slots?: number;
	readonly promoteMs?: number;
	readonly syncReplicas?: number;
	readonly log?: Log;
	/** Where it is defined, all routes need a key. */
	readonly workspaces?: readonly Workspace[];
	readonly revokeWithinMs?: number;
	readonly maxLeavingMs?: number;
	readonly maxRoutingAgeMs?: number;
	readonly features?: ProxyFeatures;
};

/** Creates a bench whose proxies know the group's primary. */
export async function createProxyBench(options: ProxyBenchOptions = {}): Promise<ProxyBench> {
	const {proxies: count = 3, lagMs, maxConnections, slots, promoteMs, syncReplicas, log, workspaces, revokeWithinMs, maxLeavingMs, maxRoutingAgeMs, features} = options;
	const clock = createVirtualClock();
	const ran: string[] = [];
	const system = createSimulatedProxies({
		clock,
		seed: 1,
		groups: [{
			name: 'nights',
			zones: ['zone-0', 'zone-1', 'zone-2'],
			lagMs,
			maxConnections,
			slots,
			promoteMs,
			syncReplicas,
			observer: {
				onRead({id, server, workspace}) {
					ran.push(`${server.id} read ${id}${workspace === undefined ? '' : ` for ${workspace}`}`);
				},
				onCommit(_commit, server, id, workspace) {
					ran.push(`${server.id} commit ${id}${workspace === undefined ? '' : ` for ${workspace}`}`);
				},
			},
		}],
		routes: ROUTES.map(route => ({...route, needsKey: workspaces !== undefined})),
		workspaces,
		revokeWithinMs,
		maxLeavingMs,
		maxRoutingAgeMs,
		features,
		log,
	});
	for (let i = 1; i <= count; i++) {
		await clock.runUntil(system.startProxy(`entry-${i}`));
	}

	// Hosts that have just registered do not replace primaries yet.
	await clock.advance(10_000);
	const group = system.groups[0]!;
	let lastId = 0;

	const send = async (caller: ScriptedCaller, text: string, id = `s${++lastId}`) => caller.ask(id, parseStatement(text));

	return {
		clock,
		system,
		group,
		proxies: system.proxies,
		ran,
		getPrimary: () => group.latestPrimary,
		splitOff(smaller) {
			for (const left of system.proxies.slice(0, smaller)) {
				left.cutFrom.add(group.latestPrimary.id);
				for (const right of system.proxies.slice(smaller)) {
					system.network.setFaultsBetween(left.peerAddress, right.peerAddress, {cut: true});
				}
			}
		},
		async open(proxy, database, requestMs, key) {
			const caller = createScriptedCaller(undefined, requestMs === undefined ? undefined : {clock, requestMs});
			void proxy.kernel.getOrThrow('gateway').serve(caller.channel);
			await clock.runUntil(caller.open(database, key));
			return caller;
		},
		send,
		async ask(caller, text, id) {
			return describeAnswer(await clock.runUntil(send(caller, text, id)));
		},
	};
}

/** Formats an answer in one line: `done ROWS STATE` or `CODE STATE`. */
export function describeAnswer(answer: ScriptedAnswer | undefined): string {
	if (!answer) {
		return 'the session ended';
	}

	const what = answer.end.kind === 'complete' ? ['done', ...answer.rows] : [answer.end.code];
	return [...what, answer.state].join(' ');
}
