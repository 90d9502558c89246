import type {FaultCommand} from '../stand-ins/database/fault-command.js';
import type {Demo} from './demo.js';

/** Injects a fault at one of a group's servers, which are numbered from 0. */
export async function injectFault(demo: Demo, group: string, server: number, fault: FaultCommand): Promise<void> {
	const res = await fetch(`${demo.system.getGroupOrThrow(group).controlUrl}/faults`, {
		method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({server, ...fault}),
	});
	if (!res.ok) {
		throw new Error(`the stand-in group refused the fault: ${await res.text()}`);
	}
}

/** Sets how far a group's replicas lag, in milliseconds. */
export async function setLag(demo: Demo, group: string, lagMs: number): Promise<void> {
	const {endpoints} = demo.system.getGroupOrThrow(group).cfg;
	await Promise.all(endpoints.map(async (_, server) => injectFault(demo, group, server, {fault: 'replication-lag', ms: lagMs})));
}

/** Returns the server that reports itself as a group's primary; of several, the one of the highest term. */
export async function findPrimaryServer(demo: Demo, group: string): Promise<{readonly server: number; readonly name: string}> {
	const {cfg, controlUrl} = demo.system.getGroupOrThrow(group);
	const res = await fetch(`${controlUrl}/faults`);
	const servers = await res.json() as ReadonlyArray<{killed: boolean; status: {role: string; term: number}}>;
	const [primary] = servers
		.map(({killed, status}, server) => ({server, killed, ...status}))
		.filter(({killed, role}) => !killed && role === 'primary')
		.toSorted((left, right) => right.term - left.term);
	if (!primary) {
		throw new Error(`group ${group} has no primary`);
	}

	return {server: primary.server, name: cfg.endpoints[primary.server]!.name};
}
