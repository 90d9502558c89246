import {expect} from 'chai';
import type {CallerResponse} from '../../src/callers/caller-response.js';
import {callerRequestSchema} from '../../src/callers/caller-request.js';
import type {Entry} from '../../src/callers/entry.js';
import {createRequestId} from '../../src/random/request-id.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import type {DatabaseServer} from '../../src/stand-ins/database/database-server.js';
import type {Link} from '../../src/stand-ins/database/link-faults.js';
import {
	createSimulatedSystem, type SimulatedGroup, type SimulatedSystem, type SimulatedSystemOptions,
} from '../../src/stand-ins/system/simulated-system.js';
import type {VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** Name of the only group in every proof. */
export const GROUP = 'sleep-logs';

/** A caller's request without its defaults. */
export type Body = Readonly<Record<string, unknown>>;

/** A simulated system with one group, and functions that send requests to it and inject faults. */
export type Proof = {
	readonly system: SimulatedSystem;
	readonly clock: VirtualClock;
	/** The group's servers. The first one is primary at the start. */
	readonly servers: readonly DatabaseServer[];
	/** Names of the proxies that own the group, the highest-ranked first. */
	readonly owners: readonly string[];
	/** Name of a proxy that does not own the group. */
	readonly outsider: string;
	/** Sends a request without advancing the clock. */
	send(proxy: string, body: Body, token?: string): Promise<CallerResponse>;
	/** Sends a request and advances the clock until it is answered. */
	ask(proxy: string, body: Body, token?: string): Promise<CallerResponse>;
	/** Returns the entry of a proxy, for transactions. */
	getEntry(proxy: string): Entry;
	/** Requests the outcome of a request, and advances the clock until it is answered. */
	queryOutcome(proxy: string, requestId: string, token?: string): Promise<CallerResponse>;
	/** Creates a request id with the current time. */
	createId(): string;
	/** Separates a proxy and a server, which still reach each other, from all other proxies and servers. */
	cutOff(proxy: string, server: DatabaseServer): void;
	/** Ends a proxy for the other proxies. What it has sent to a server still arrives. */
	killProcess(proxy: string): void;
	/** Returns the link between a proxy and a server. */
	getLink(proxy: string, server: DatabaseServer): Link;
	/** Returns the server that is primary at the highest term. Throws if there is none. */
	getPrimaryOrThrow(): DatabaseServer;
	/** Describes the scores of the member's rows at the primary, in the order in which they were written. */
	getScores(member?: string): string;
};

/** Options that differ from the default system. */
export type ProofOptions = Pick<SimulatedGroup, 'config' | 'serverParameters'> & Partial<Pick<SimulatedSystemOptions, 'proxies' | 'wrapEndpoints'>>;

export const MEMBER = 'm-17';

/** Returns a write of one row, which must not appear twice. */
export const createWrite = (score: number, more: Body = {}): Body => ({
	kind: 'write', statement: 'INSERT INTO nights (member, score) VALUES ($1, $2)', values: [MEMBER, score], ...more,
});

/** Returns a read of the member's rows. */
export const createRead = (more: Body = {}): Body => ({
	kind: 'read', statement: 'SELECT score FROM nights WHERE member = $1', values: [MEMBER], ...more,
});

/** Declares a test that compares the lines returned by `run` with the expected ones. */
export function doProof(title: string, run: (proof: Proof) => Promise<readonly string[]>, expected: readonly string[], options: ProofOptions = {}): void {
	it(title, async () => {
		const system = createSimulatedSystem({
			proxies: options.proxies ?? 3,
			availabilityZones: ['hall-a', 'hall-b', 'hall-c', 'hall-d'],
			groups: [{
				name: GROUP, availabilityZones: ['hall-a', 'hall-b', 'hall-c'], config: options.config, serverParameters: options.serverParameters,
			}],
			wrapEndpoints: options.wrapEndpoints,
		});
		await system.start();
		try {
			expect(await run(createProof(system))).to.deep.equal(expected);
		} finally {
			await system.stop();
		}
	});
}

/** Describes an answer in one line: its outcome, with the scores that it shows or the code of the refusal. */
export function describeAnswer({outcome, refusal, rows}: CallerResponse): string {
	if (refusal) {
		return `${outcome}: ${refusal.code}`;
	}

	return rows && rows.length > 0 ? `${outcome}: ${rows.map(({score}) => String(score)).join(', ')}` : outcome;
}

function createProof(system: SimulatedSystem): Proof {
	const {clock} = system;
	const {servers} = system.getGroupOrThrow(GROUP);
	const random = createSeededRandom(99);
	const ranked = system.proxies[0]!.kernel.getOrThrow('owning').getOwners(GROUP, 2, clock.now()).map(({name}) => name);
	const getEntry = (proxy: string) => system.getProxyOrThrow(proxy).kernel.getOrThrow('entry');

	const send: Proof['send'] = async (proxy, body, token) => getEntry(proxy).execute(GROUP, callerRequestSchema.parse(body), token);

	const getPrimaryOrThrow = () => {
		const primaries = servers.filter(({member}) => member.isPrimaryAt(member.getStatus().term));
		const newest = primaries.toSorted((left, right) => right.member.getStatus().term - left.member.getStatus().term).at(0);
		return newest ?? throwNoPrimary();
	};

	return {
		system,
		clock,
		servers,
		getEntry,
		owners: ranked,
		outsider: system.proxies.find(({name}) => !ranked.includes(name))!.name,
		send,
		ask: async (proxy, body, token) => clock.runUntil(send(proxy, body, token)),
		queryOutcome: async (proxy, requestId, token) => clock.runUntil(getEntry(proxy).resolveOutcome(GROUP, requestId, token)),
		createId: () => createRequestId(clock.wall(), random),
		cutOff(proxy, server) {
			const {address} = system.getProxyOrThrow(proxy);
			const others = system.proxies.filter(({name}) => name !== proxy);
			const otherServers = servers.filter(each => each !== server);
			for (const other of others) {
				system.network.setFaultsBetween(address, other.address, {cut: true});
			}

			for (const other of otherServers) {
				other.faults.cut([proxy]);
			}

			server.faults.cut([...others.map(({name}) => name), ...otherServers.map(other => other.address)]);
		},
		killProcess(proxy) {
			system.network.kill(system.getProxyOrThrow(proxy).address);
		},
		getLink: (proxy, server) => system.getProxyOrThrow(proxy).endpoints.getLink(server.address),
		getPrimaryOrThrow,
		getScores(member = MEMBER) {
			const rows = getPrimaryOrThrow().member.state.findRows('nights', [{column: 'member', value: member}]);
			return `stored: ${rows.map(({row}) => String(row.score)).join(', ') || 'nothing'}`;
		},
	};
}

function throwNoPrimary(): never {
	throw new Error('no server is primary');
}
