import type {SimulatedProxies, SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {Random} from '../../src/random/random.js';
import type {VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import type {StoreFaults} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import type {ContactLog, Disturbance} from './contact-log.js';

/** The simulated system of a schedule. */
export type ConfigurationWorld = {
	readonly system: SimulatedProxies;
	readonly clock: VirtualClock;
	readonly random: Random;
	readonly contact: ContactLog;
	/** Names of the hosts. */
	readonly hosts: readonly string[];
	/** Virtual time at which all faults have ended. */
	readonly faultsEndAt: number;
};

/** Which hosts the store turns away at most. */
export const TurnedAway = {
	/** Up to four of nine. */
	Few: 'few',
	/** All but one or two. */
	Most: 'most',
	/** A growing share, up to all. */
	All: 'all',
} as const;

/** One of the values of {@link TurnedAway}. */
export type TurnedAway = typeof TurnedAway[keyof typeof TurnedAway];

/** Maximum time for which the store turns a host away, in milliseconds. */
const MAX_TURNED_AWAY_MS = 12_000;

/** Maximum duration of other faults, in milliseconds. */
const MAX_FAULT_MS = 4000;

/** Injects faults one after the other, some of which overlap, until none may last longer. */
export async function injectConfigurationFaults(world: ConfigurationWorld, turnedAway: TurnedAway): Promise<void> {
	const {clock, random, faultsEndAt} = world;
	void turnHostsAway(world, turnedAway);
	while (clock.now() + MAX_FAULT_MS < faultsEndAt) {
		await clock.sleep(300 + (random.fraction() * 3000));
		void pick(random, FAULTS)(world, 300 + (random.fraction() * (MAX_FAULT_MS - 300)));
	}
}

/** Returns a random item. */
export function pick<T>(random: Random, items: readonly T[]): T {
	return items[Math.floor(random.fraction() * items.length)]!;
}

function shuffle<T>(random: Random, items: readonly T[]): readonly T[] {
	return items.map(item => ({item, key: random.fraction()})).toSorted((left, right) => left.key - right.key).map(({item}) => item);
}

function getMost({hosts, random}: ConfigurationWorld, turnedAway: TurnedAway): number {
	switch (turnedAway) {
		case TurnedAway.Few: {
			return 1 + Math.floor(random.fraction() * 4);
		}

		case TurnedAway.Most: {
			return hosts.length - 1 - Math.floor(random.fraction() * 2);
		}

		case TurnedAway.All: {
			return hosts.length;
		}
	}
}

/** Turns a growing share of the hosts away, again and again. */
async function turnHostsAway(world: ConfigurationWorld, turnedAway: TurnedAway) {
	const {clock, random, faultsEndAt} = world;
	while (clock.now() + MAX_TURNED_AWAY_MS < faultsEndAt) {
		const until = clock.now() + 3000 + (random.fraction() * (MAX_TURNED_AWAY_MS - 3000));
		const faults: Partial<StoreFaults> = random.fraction() < 0.5 ? {refused: true} : {silent: true};
		for (const host of shuffle(random, world.hosts).slice(0, getMost(world, turnedAway))) {
			void turnAway(world, host, faults, until);
			await clock.sleep(random.fraction() * 400);
		}

		await clock.sleep(Math.max(0, until - clock.now()) + (random.fraction() * 6000));
	}
}

async function turnAway({system, clock, contact}: ConfigurationWorld, host: string, faults: Partial<StoreFaults>, until: number) {
	const refusal = contact.turnAway(host, clock.now());
	system.store.setFaults(host, faults);
	await clock.sleep(until - clock.now());
	system.store.clearFaults(host);
	refusal.until = clock.now();
}

function pickRunning({system, random}: ConfigurationWorld): SimulatedProxy {
	return pick(random, system.proxies.filter(({killed}) => !killed));
}

async function endLater({clock}: ConfigurationWorld, disturbance: Disturbance, ms: number) {
	await clock.sleep(ms);
	disturbance.until = clock.now();
}

const FAULTS = [suspend, kill, kill, cutApart, cutOneWay, slowStore, stopStore];

async function suspend(world: ConfigurationWorld, ms: number) {
	const proxy = pickRunning(world);
	const disturbance = world.contact.disturb(proxy.name, world.clock.now());
	world.system.suspend(proxy);
	await endLater(world, disturbance, ms);
	world.system.resume(proxy);
}

async function kill(world: ConfigurationWorld, ms: number) {
	const proxy = pickRunning(world);
	const disturbance = world.contact.disturb(proxy.name, world.clock.now());
	world.system.kill(proxy);
	await endLater(world, disturbance, ms / 2);
	void world.system.startProxy(proxy.name);
}

/** Cuts two hosts apart, in the direction from the first to the second and, unless `oneWay`, back. */
async function cut(world: ConfigurationWorld, ms: number, oneWay: boolean) {
	const [left, right] = [pickRunning(world), pickRunning(world)];
	if (left === right) {
		return;
	}

	const {network} = world.system;
	const both = [left, right].map(({name}) => world.contact.disturb(name, world.clock.now()));
	network.setFaults(left.peerAddress, right.peerAddress, {cut: true});
	if (!oneWay) {
		network.setFaults(right.peerAddress, left.peerAddress, {cut: true});
	}

	await Promise.all(both.map(async disturbance => endLater(world, disturbance, ms)));
	network.setFaults(left.peerAddress, right.peerAddress, {});
	network.setFaults(right.peerAddress, left.peerAddress, {});
}

async function cutApart(world: ConfigurationWorld, ms: number) {
	await cut(world, ms, false);
}

async function cutOneWay(world: ConfigurationWorld, ms: number) {
	await cut(world, ms, true);
}

async function disturbStore(world: ConfigurationWorld, ms: number, faults: Partial<StoreFaults>) {
	const disturbance = world.contact.disturbStore(world.clock.now());
	world.system.store.setFaults(undefined, faults);
	await endLater(world, disturbance, ms);
	world.system.store.clearFaults(undefined);
}

async function slowStore(world: ConfigurationWorld, ms: number) {
	await disturbStore(world, ms, {responseMs: 50 + (world.random.fraction() * 600)});
}

async function stopStore(world: ConfigurationWorld, ms: number) {
	await disturbStore(world, ms, world.random.fraction() < 0.5 ? {silent: true} : {refused: true});
}
