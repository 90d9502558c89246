import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {pick, type World} from './leadership-world.js';
import {PLANNED_WORK} from './leadership-stops.js';
import type {LeadershipScheduleOptions} from './run-leadership-schedule.js';

/** Maximum number of fault kinds in a swarm, which is a small random subset of all kinds. */
const MAX_SWARM_SIZE = 5;

/** Returns a few random kinds of faults. Some bugs appear only if two kinds coincide often, which is rare among all kinds. */
function pickSwarm(world: World): readonly Fault[] {
	const size = 2 + Math.floor(world.random.fraction() * (MAX_SWARM_SIZE - 1));
	const all = [...COMMON_FAULTS, ...DELAY_FAULTS];
	return Array.from({length: size}, () => pick(world, all));
}

/** Injects faults one after the other, some of which overlap. */
export async function injectFaults(world: World, until: number, options: LeadershipScheduleOptions) {
	const {clock, random} = world;
	const {swarms = false, emptyRestarts = false, restores = false, stops = false, waitsForReplica = false} = options;
	world.faultsEndAt = until;
	// These kinds are listed separately, because one more common kind would change the schedule of every seed that is kept in the tests.
	const commonFaults = world.drains ? FAULTS_BESIDE_STOPS : (swarms ? pickSwarm(world) : COMMON_FAULTS);
	const planned = stops ? Array.from({length: PLANNED_SHARE}, () => PLANNED_WORK).flat() : [];
	const faults = [
		...commonFaults,
		...planned,
		...(emptyRestarts ? [restartEmpty, restartEmpty] : []),
		...(restores ? [restoreBackup, restoreBackup, restoreBackup] : []),
		...(waitsForReplica ? REPLICA_FAULTS : []),
	];
	while (clock.now() < until && !world.stopped) {
		await clock.sleep(100 + (900 * random.fraction()));
		if (clock.now() < until) {
			pick(world, faults)(world, 300 + (4000 * random.fraction()));
		}
	}
}

/** Starts a fault that lasts about `ms` milliseconds. */
export type Fault = (world: World, ms: number) => void;

function pickRunningProxy(world: World): SimulatedProxy | undefined {
	const running = world.system.proxies.filter(({killed}) => !killed);
	return running.length === 0 ? undefined : pick(world, running);
}

function later({clock}: World, ms: number, action: () => void) {
	void clock.sleep(ms).then(action);
}

const FAULTS = {
	crashServer(world, ms) {
		const group = world.system.groups[0]!;
		const server = world.random.fraction() < 0.7 ? group.latestPrimary : pick(world, group.servers);
		if (group.servers.filter(({running}) => running).length < 3) {
			return;
		}

		group.crash(server);
		later(world, ms, () => {
			group.restart(server);
		});
	},
	cutPrimaryFromProxies(world, ms) {
		const primaryId = world.system.groups[0]!.latestPrimary.id;
		for (const proxy of world.system.proxies) {
			if (world.random.fraction() < 0.6) {
				proxy.cutFrom.add(primaryId);
				later(world, ms, () => proxy.cutFrom.delete(primaryId));
			}
		}
	},
	cutPrimaryFromGroup(world, ms) {
		const group = world.system.groups[0]!;
		const server = group.latestPrimary;
		server.cutFromGroup = true;
		later(world, ms, () => {
			server.cutFromGroup = false;
		});
	},
	lagReplica(world, ms) {
		const server = pick(world, world.system.groups[0]!.servers);
		const before = server.lagMs;
		server.lagMs = 1500 + (2000 * world.random.fraction());
		later(world, ms, () => {
			server.lagMs = before;
		});
	},
	loseAnswers(world) {
		pick(world, world.system.groups[0]!.servers).answersToLose += 1 + Math.floor(world.random.fraction() * 3);
	},
	suspendProxy(world, ms) {
		const proxy = pickRunningProxy(world);
		if (proxy) {
			world.system.suspend(proxy);
			later(world, ms, () => {
				world.system.resume(proxy);
			});
		}
	},
	killProxy(world, ms) {
		const proxy = pickRunningProxy(world);
		if (proxy) {
			world.system.kill(proxy);
			later(world, ms / 2, () => {
				void world.system.startProxy(proxy.name);
			});
		}
	},
	stopStore(world, ms) {
		world.system.store.setFaults(undefined, world.random.fraction() < 0.5 ? {silent: true} : {refused: true});
		later(world, ms, () => {
			world.system.store.heal();
		});
	},
	refuseSomeProxies(world, ms) {
		for (const name of world.proxies) {
			if (world.random.fraction() < 0.5) {
				world.system.store.setFaults(name, {refused: true});
			}
		}

		later(world, ms, () => {
			world.system.store.heal();
		});
	},
	loseStoreAnswers(world, ms) {
		world.system.store.setFaults(undefined, {loseShare: 0.4, lateMs: 4000});
		later(world, ms, () => {
			world.system.store.heal();
		});
	},
	slowStore(world, ms) {
		world.system.store.setFaults(undefined, {responseMs: 350});
		later(world, ms, () => {
			world.system.store.heal();
		});
	},
	cutProxiesApart(world, ms) {
		const [left, right] = [pick(world, world.proxies), pick(world, world.proxies)];
		if (left !== right) {
			world.system.network.setFaultsBetween(`${left}:7000`, `${right}:7000`, {cut: true});
			later(world, ms, () => {
				world.system.network.heal();
			});
		}
	},
	/** Isolates one proxy together with the primary, while the other proxies replace that primary. */
	isolateWithPrimary(world, ms) {
		const group = world.system.groups[0]!;
		const server = group.latestPrimary;
		const isolated = pickRunningProxy(world);
		if (!isolated) {
			return;
		}

		server.cutFromGroup = true;
		world.system.store.setFaults(isolated.name, {silent: true});
		for (const proxy of world.system.proxies.filter(other => other !== isolated)) {
			proxy.cutFrom.add(server.id);
			world.system.network.setFaultsBetween(isolated.peerAddress, proxy.peerAddress, {cut: true});
		}

		later(world, 2000 + (2 * ms), () => {
			server.cutFromGroup = false;
			world.system.store.heal();
			world.system.network.heal();
			for (const proxy of world.system.proxies) {
				proxy.cutFrom.delete(server.id);
			}
		});
	},
	drainPrimary(world, ms) {
		const group = world.system.groups[0]!;
		const server = group.latestPrimary;
		server.leaving = true;
		world.system.registerEndpoints();
		later(world, ms, () => {
			server.leaving = false;
			world.system.registerEndpoints();
		});
	},
} satisfies Readonly<Record<string, Fault>>;

const COMMON_FAULTS: readonly Fault[] = Object.values(FAULTS);

/** Number of times that each kind of planned work is listed among the kinds of faults. */
const PLANNED_SHARE = 4;

/** Faults that keep no proxy from the store and from its peers, so that each learns in time which servers are leaving. */
const FAULTS_BESIDE_STOPS: readonly Fault[] = [FAULTS.killProxy, FAULTS.crashServer, FAULTS.lagReplica];

/** Faults that delay statements in progress, so that they run at a primary that has been superseded in the meantime. */
const DELAY_FAULTS: readonly Fault[] = [freezeServer, slowServer, slowOrders];

function pickServer(world: World) {
	const group = world.system.groups[0]!;
	return world.random.fraction() < 0.7 ? group.latestPrimary : pick(world, group.servers);
}

/** Restarts a server at once without its data. Its entry shows the restart at once or seconds later. */
function restartEmpty(world: World, ms: number) {
	const server = pickServer(world);
	const group = world.system.groups[0]!;
	const others = group.servers.filter(other => other !== server && other.running && other.log.length > 0);
	if (!server.running || others.length === 0) {
		return;
	}

	group.restartEmpty(server);
	later(world, ms < 2000 ? 0 : ms / 2, () => {
		world.system.registerEndpoints();
	});
}

/** Interrupts the store briefly and restores it from an older backup. The records that the operator and the servers wrote are there again at once or later. */
function restoreBackup(world: World, ms: number) {
	const {store} = world.system;
	const backup = store.takeBackup();
	later(world, ms, () => {
		store.setFaults(undefined, {silent: true});
	});
	later(world, ms + 200 + (1800 * world.random.fraction()), () => {
		store.heal();
		store.restore(backup, world.random.fraction() < 0.5 ? 0 : 1500 * world.random.fraction());
	});
}

function freezeServer(world: World, ms: number) {
	pickServer(world).frozenUntil = world.clock.now() + (2 * ms);
}

function slowOrders(world: World, ms: number) {
	world.system.setOrderFaults({maxDelayMs: 1500 * world.random.fraction(), loseShare: 0.3});
	later(world, 2 * ms, () => {
		world.system.setOrderFaults();
	});
}

function slowServer(world: World, ms: number) {
	const server = pickServer(world);
	server.slowMs = 3000 * world.random.fraction();
	later(world, 2 * ms, () => {
		server.slowMs = 0;
	});
}

function pickReplica(world: World) {
	const group = world.system.groups[0]!;
	return pick(world, group.servers.filter(server => server !== group.latestPrimary));
}

/** A replica receives nothing. */
function deafReplica(world: World, ms: number) {
	const server = pickReplica(world);
	server.deaf = true;
	later(world, 2 * ms, () => {
		server.deaf = false;
	});
}

/** A replica is cut off from all proxies, and the primary crashes soon after in half of the cases. */
function cutReplica(world: World, ms: number) {
	const server = pickReplica(world);
	for (const {cutFrom} of world.system.proxies) {
		cutFrom.add(server.id);
	}

	later(world, 1000 + ms, () => {
		for (const {cutFrom} of world.system.proxies) {
			cutFrom.delete(server.id);
		}
	});
	if (world.random.fraction() < 0.5) {
		later(world, 500 * world.random.fraction(), () => {
			FAULTS.crashServer(world, ms);
		});
	}
}

const REPLICA_FAULTS: readonly Fault[] = [deafReplica, deafReplica, deafReplica, cutReplica, cutReplica, cutReplica];

/** Ends all faults. */
export function healAllFaults({system}: World) {
	system.store.heal();
	system.network.heal();
	system.setOrderFaults();
	for (const server of system.groups[0]!.servers) {
		server.cutFromGroup = false;
		server.leaving = false;
		server.lagMs = 20;
		server.answersToLose = 0;
		server.slowMs = 0;
		server.frozenUntil = 0;
		server.deaf = false;
		if (!server.running) {
			system.groups[0]!.restart(server);
		}
	}

	system.registerEndpoints();
	for (const proxy of system.proxies) {
		proxy.cutFrom.clear();
		system.resume(proxy);
	}
}
