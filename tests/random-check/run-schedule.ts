import {Outcome} from '../../src/callers/caller-response.js';
import type {DatabaseServer} from '../../src/stand-ins/database/database-server.js';
import {
	createStepRunner, getAcked, getRowIds, READ,
} from './step-runner.js';
import type {GuardBreak} from './guard-breaks.js';
import type {Figures} from './history.js';
import {PROXIES, type Schedule} from './schedule.js';
import {createWorld, GROUP, type World} from './world.js';

/** Result of a run. */
export type RunEnd = {
	readonly violations: readonly string[];
	readonly figures: Figures;
	readonly wakes: number;
};

/** Time in which the proxies receive the statuses of the group, in milliseconds. */
const START_MS = 60;

/** Time in which every request is answered, in milliseconds. */
const ALL_ANSWERED_MS = 6000;

/** Time in which replicas catch up after all faults have ended, in milliseconds. */
const CATCH_UP_MS = 3000;

/** Time for a status request to all servers and a promotion, in milliseconds. */
const PROMOTION_MS = 2000;

/** Maximum number of promotions in a healed group before the run fails. */
const MAX_PROMOTIONS = 5;

/** Runs a schedule in a new world and checks its guarantees. */
export async function runSchedule({seed, jitterMs, absent, steps}: Schedule, guardBreak?: GuardBreak): Promise<RunEnd> {
	const world = createWorld({seed, jitterMs, guardBreak});
	const {clock, history} = world;
	const act = createStepRunner(world);
	for (let proxy = 0; proxy < PROXIES; proxy++) {
		void world.getProxy(proxy).checkStatuses();
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
		await finishRun(world, absent);
	}

	world.stop();
	return {violations: history.violations, figures: history.figures, wakes: clock.wakes};
}

/** Ends all faults, lets all requests end, promotes once more without one server, and checks the remaining log. */
async function finishRun(world: World, absent: number): Promise<void> {
	const {clock, servers, history} = world;
	heal(world);
	// The server is cut off before anything more is replicated, since a write that only it holds must not have been acknowledged.
	servers[absent]?.faults.cut();
	await clock.advance(ALL_ANSWERED_MS);
	await promoteOnce(world);
	heal(world);
	await clock.advance(100);
	// The absent server may have promised a higher term than the others.
	for (let tries = 0; tries < MAX_PROMOTIONS && !getPrimary(world); tries++) {
		await promoteOnce(world);
	}

	void world.getProxy(0).repair();
	await clock.advance(CATCH_UP_MS);
	const survivor = getPrimary(world);
	if (!survivor) {
		throw new Error('the healed group has no primary');
	}

	history.checkSurvivingLog(survivor.member.log);
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

async function promoteOnce({clock, getProxy}: World): Promise<void> {
	const proxy = getProxy(0);
	void (async () => {
		await proxy.checkStatuses();
		await proxy.promote();
	})();

	await clock.advance(PROMOTION_MS);
}

function getPrimary({servers, getHighestTerm}: World): DatabaseServer | undefined {
	const term = getHighestTerm();
	return servers.find(({member}) => member.isPrimaryAt(term));
}

/** Reads without a token. The read must see every write that was acknowledged to any caller. */
async function readAtEnd({clock, getProxy, history}: World): Promise<void> {
	const {entry} = getProxy(1);
	void (async () => {
		const answer = await entry.execute(GROUP, READ, undefined);
		if (answer.outcome === Outcome.Done) {
			history.recordRead(getRowIds(answer), getAcked(history.keys), 'the last read');
		}
	})();

	await clock.advance(READ.deadlineMs + 100);
}
