import {EndpointOrder} from '../../src/groups/group-config.js';
import {BOOTSTRAP_OPERATOR} from '../../src/operators/create-operator-access.js';
import type {DatabaseServer} from '../../src/stand-ins/database/database-server.js';
import {ExchangeKind} from '../../src/stand-ins/database/exchange-kind.js';
import {Outage} from '../../src/stand-ins/platform/platform-faults.js';
import {
	doProof, GROUP, createRead, createWrite, type Proof, type ProofOptions,
} from './proof-bench.js';
import {startTraffic, type TrafficOptions} from './traffic.js';

/** Time after which a leaving endpoint receives no new work, in milliseconds. */
const BOUND_MS = 3000;

/** Number of connections in one owner's pool. */
const OWNER_CONNECTIONS = 7;

/** Exchanges that start new work. Statements of an open transaction and its end are not new work. */
const NEW_WORK: ReadonlySet<ExchangeKind> = new Set([ExchangeKind.Read, ExchangeKind.Write, ExchangeKind.Resolve, ExchangeKind.Begin]);

/** Counts the new work that arrives at a server after the bound. Returns a function that describes it. */
function countLateWork({clock}: Proof, server: DatabaseServer) {
	const orderedAt = clock.now();
	const late = new Map<string, number>();
	server.onExchange((kind, from) => {
		if (NEW_WORK.has(kind) && clock.now() > orderedAt + BOUND_MS) {
			const what = `${kind} from ${from}`;
			late.set(what, (late.get(what) ?? 0) + 1);
		}
	});
	return () => late.size === 0 ? 'no new work' : [...late].map(([what, times]) => `${what}, ${times} times`).join('; ');
}

/** How the proxies learn that an endpoint is leaving. */
const LeaveSignal = {
	Order: 'an order',
	List: 'the platform\'s list',
	Status: 'its own status',
} as const;

type LeaveSignal = typeof LeaveSignal[keyof typeof LeaveSignal];

async function leave(proof: Proof, signal: LeaveSignal, index: number): Promise<void> {
	const server = proof.servers[index]!;
	if (signal === LeaveSignal.Order) {
		const {kernel} = proof.system.getProxyOrThrow(proof.outsider);
		const run = kernel.getOrThrow('operatorCommands').run(`drain endpoint ${GROUP}-${index + 1}`, {name: BOOTSTRAP_OPERATOR, role: 'operate'}, undefined);
		const {status, text} = await proof.clock.runUntil(run);
		if (status !== 'ok') {
			throw new Error(text);
		}
	} else if (signal === LeaveSignal.List) {
		proof.system.store.setHosts([...proof.system.store.hosts(), {
			name: 'db', role: 'endpoint', address: server.address, availabilityZone: 'hall-a', state: 'leaving',
		}]);
	} else {
		server.setLeaving(true);
	}
}

/** Makes all servers of the group leave, so that none can be promoted and the primary stays the same. */
async function leaveAll(proof: Proof, signal: LeaveSignal): Promise<void> {
	if (signal === LeaveSignal.Order) {
		const {cfg} = proof.system.proxies[0]!.kernel.getOrThrow('configuration').getGroupOrThrow(GROUP);
		proof.system.configure({...cfg, endpoints: cfg.endpoints.map(endpoint => ({...endpoint, order: EndpointOrder.Drain}))});
		return;
	}

	for (const index of proof.servers.keys()) {
		await leave(proof, signal, index);
	}
}

type LeaveScenario = TrafficOptions & {
	/** Index of the leaving server. The first one is the primary. */
	readonly index: number;
	readonly signal?: LeaveSignal;
	/** Whether the other servers leave as well. */
	readonly all?: boolean;
	before?(proof: Proof): void | Promise<void>;
	/** Called immediately after the order. */
	after?(proof: Proof): void | Promise<void>;
	/** How long the traffic continues after the order, in milliseconds. */
	readonly lastsMs?: number;
	/** The requests that may be refused, since no other endpoint can run them. */
	readonly refuses?: RegExp;
};

function doTest(title: string, scenario: LeaveScenario, options: ProofOptions = {}) {
	const {index, signal = LeaveSignal.Order} = scenario;
	doProof(`${title}: ${signal}`, async proof => {
		await proof.ask(proof.outsider, createWrite(41), 'new');
		const traffic = startTraffic(proof, scenario);
		await scenario.before?.(proof);
		await proof.clock.advance(1000);
		const describe = countLateWork(proof, proof.servers[index]!);
		await (scenario.all ? leaveAll(proof, signal) : leave(proof, signal, index));
		await scenario.after?.(proof);
		await proof.clock.advance(scenario.lastsMs ?? 6000);
		const refused = await traffic.stop();
		return [describe(), ...refused.filter(line => !scenario.refuses?.test(line))];
	}, ['no new work'], options);
}

describe('proof: a leaving endpoint gets no new work after three seconds', () => {
	for (const signal of Object.values(LeaveSignal)) {
		// A server is about to be removed. Reads and writes continue through all proxies, and none of them may still run at
		// that server when it stops.
		doTest('a replica', {index: 1, signal});
		doTest('the primary', {index: 0, signal, transactions: true});
	}

	for (const signal of Object.values(LeaveSignal)) {
		// All servers of a group are removed. No other server can become primary, and a write sent to the primary late would be cut off.
		doTest('a primary that no server can replace', {
			index: 0, signal, all: true, refuses: /./v, transactions: true,
		});
	}

	// The other replica lags far behind, so the leaving one is the only replica that can serve the sessions' own writes and
	// the age that readers accept.
	doTest('the only replica that satisfies the sessions', {
		index: 1,
		read: {maxAgeMs: 500},
		before(proof) {
			proof.servers[2]!.setReplicationLag(60_000);
		},
	});

	// No server can replace the primary until another one stops leaving, five seconds later. The replacement must not wait for
	// the writes that wait for the next primary meanwhile.
	doTest('a primary that is replaced late', {
		index: 0,
		signal: LeaveSignal.Status,
		all: true,
		lastsMs: 7000,
		refuses: /^read/v,
		async after(proof) {
			await proof.clock.advance(5000);
			proof.servers[1]!.setLeaving(false);
		},
	});

	// The first owner of the group does not reach the platform when the order is given.
	for (const index of [0, 1]) {
		doTest(`server ${index + 1}, with the first owner cut off from the platform`, {
			index,
			before(proof) {
				proof.system.getProxyOrThrow(proof.owners[0]!).platform.faultInjector.faults.outage = Outage.Silent;
			},
		});

		// The platform goes down just after the operator was told that the order is accepted, before any watch has reported
		// it to a proxy.
		doTest(`server ${index + 1}, with the platform down just after the order`, {
			index,
			before(proof) {
				proof.system.platformGate.faults.deadWatches = true;
			},
			after(proof) {
				proof.system.platformGate.faults.outage = Outage.Silent;
			},
		});

		for (const signal of index === 0 ? Object.values(LeaveSignal) : [LeaveSignal.Order]) {
			// An owner fails after the order, and a proxy that has never owned the group takes its place.
			doTest(`server ${index + 1}, with a new owner after the order`, {
				index,
				signal,
				refuses: /./v,
				all: index === 0,
				async after(proof) {
					await proof.clock.advance(BOUND_MS);
					proof.system.kill(proof.owners[1]!);
				},
			});
		}
	}

	// The servers are slow, and requests with long deadlines wait in the owners' queues when the order arrives. These
	// requests have not started and must not start at the leaving server.
	for (const index of [0, 1]) {
		doTest(`server ${index + 1}, with a full queue`, {
			index, refuses: /./v, pauseMs: 0, read: {deadlineMs: 30_000},
			async before(proof) {
				for (let count = 0; count < 60; count++) {
					void proof.send(proof.owners[0]!, index === 0 ? createWrite(count, {deadlineMs: 30_000}) : createRead({deadlineMs: 30_000}), 'new');
				}
			},
		}, {serverParameters: {serviceMs: 1500}});
	}

	// Every connection of an owner is used by a transaction when the order arrives, and further transactions wait for one.
	// The open ones end after the bound. Those that waited must not begin then.
	describe('with every connection in use', () => {
		const open: string[] = [];

		doTest('the primary', {
			index: 0,
			signal: LeaveSignal.Status,
			all: true,
			refuses: /./v,
			async before(proof) {
				const entry = proof.getEntry(proof.owners[0]!);
				const req = {class: 'interactive', deadlineMs: 30_000} as const;
				for (let count = 0; count < OWNER_CONNECTIONS; count++) {
					const {requestId} = await proof.clock.runUntil(entry.begin(GROUP, req, 'new'));
					open.push(requestId);
				}

				for (let count = 0; count < OWNER_CONNECTIONS; count++) {
					void entry.begin(GROUP, req, 'new');
				}
			},
			async after(proof) {
				await proof.clock.advance(BOUND_MS + 500);
				for (const id of open) {
					await proof.clock.runUntil(proof.getEntry(proof.owners[0]!).rollback(id, 'new'));
				}
			},
		});
	});
});
