import {Outcome} from '../../src/callers/caller-response.js';
import type {DatabaseServer} from '../../src/stand-ins/database/database-server.js';
import {
	createActor, getAcked, getNights, READ,
} from './actor.js';
import type {GuardBreak} from './guard-breaks.js';
import type {Figures} from './history.js';
import {PROXIES, type Schedule} from './schedule.js';
import {createWorld, GROUP, type World} from './world.js';

/** How a run ended. */
export type RunEnd = {
	readonly violations: readonly string[];
	readonly figures: Figures;
	readonly wakes: number;
};

/** Time in which the proxies come to know the group, in milliseconds. */
const START_MS = 60;

/** Time in which everything that was asked has its answer, in milliseconds. */
const ANSWERED_MS = 6000;

/** Time in which replicas catch up once all is healed, in milliseconds. */
const CATCH_UP_MS = 3000;

/** Time for a look at all servers and a promotion, in milliseconds. */
const RAISE_MS = 2000;

/** Promotions in a healed group before it is given up. */
const MOST_RAISES = 5;

/** Runs a schedule on a fresh world and judges it. */
export async function runSchedule({seed, jitterMs, absent, steps}: Schedule, guardBreak?: GuardBreak): Promise<RunEnd> {
	const world = createWorld({seed, jitterMs, guardBreak});
	const {clock, history} = world;
	const act = createActor(world);
	for (let proxy = 0; proxy < PROXIES; proxy++) {
		void world.getProxy(proxy).look();
		void world.getProxy(proxy).owner.parts.barrier.take(clock.now() + START_MS);
	}

	await clock.advance(START_MS);
	for (const step of steps) {
		act(step);
		await clock.advance(step.ms);
		if (history.violations.length > 0) {
			break;
		}
	}

	if (history.violations.length === 0) {
		await settleWorld(world, absent);
	}

	world.stop();
	return {violations: history.violations, figures: history.figures, wakes: clock.wakes};
}

/** Ends all faults, lets all requests end, promotes once more without one server, and judges what is left. */
async function settleWorld(world: World, absent: number): Promise<void> {
	const {clock, servers, history} = world;
	heal(world);
	// Cut off before anything more is replicated: what it alone holds must not have been acknowledged.
	servers[absent]?.faults.cut();
	await clock.advance(ANSWERED_MS);
	await raiseOnce(world);
	heal(world);
	await clock.advance(100);
	// The server that was absent may have promised a higher term than the others.
	for (let tries = 0; tries < MOST_RAISES && !getPrimary(world); tries++) {
		await raiseOnce(world);
	}

	void world.getProxy(0).tend();
	await clock.advance(CATCH_UP_MS);
	const survivor = getPrimary(world);
	if (!survivor) {
		throw new Error('the healed group has no primary');
	}

	history.judgeSurvivor(survivor.member.log);
	await readAtEnd(world);
}

function heal(world: World): void {
	for (const [index, server] of world.servers.entries()) {
		server.restart();
		server.faults.thaw();
		server.faults.heal();
		server.setReplicationStalled(false);
		server.setReplicationLag(1);
		for (let proxy = 0; proxy < PROXIES; proxy++) {
			world.getLink(proxy, index).heal();
			world.getLink(proxy, index).setDelay(0);
			world.getLink(proxy, index).dropAnswers(0);
		}
	}

	for (let proxy = 0; proxy < PROXIES; proxy++) {
		world.getProxy(proxy).clock.resume();
	}
}

async function raiseOnce({clock, getProxy}: World): Promise<void> {
	const proxy = getProxy(0);
	void (async () => {
		await proxy.look();
		await proxy.raise();
	})();

	await clock.advance(RAISE_MS);
}

function getPrimary({servers, getHighestTerm}: World): DatabaseServer | undefined {
	const term = getHighestTerm();
	return servers.find(({member}) => member.isPrimaryAt(term));
}

/** A caller without a token must see everything that was acknowledged to anyone. */
async function readAtEnd({clock, getProxy, history}: World): Promise<void> {
	const {entry} = getProxy(1);
	void (async () => {
		const answer = await entry.execute(GROUP, READ, undefined);
		if (answer.outcome === Outcome.Done) {
			history.noteRead(getNights(answer), getAcked(history.keys), 'the last read');
		}
	})();

	await clock.advance(READ.deadlineMs + 100);
}
