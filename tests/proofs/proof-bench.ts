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

/** The one group of every proof. */
export const GROUP = 'sleep-logs';

/** What a caller sends, before defaults. */
export type Body = Readonly<Record<string, unknown>>;

/** A simulated system with one group, and the ways to ask it and to fail it. */
export type Proof = {
	readonly system: SimulatedSystem;
	readonly clock: VirtualClock;
	/** The group's servers; the first begins as primary. */
	readonly servers: readonly DatabaseServer[];
	/** Names of the proxies that look after the group, first-ranked first. */
	readonly owners: readonly string[];
	/** Name of a proxy that does not. */
	readonly outsider: string;
	/** Sends a request at once, without letting time pass. */
	send(proxy: string, body: Body, token?: string): Promise<CallerResponse>;
	/** Sends a request and lets time pass until it is answered. */
	ask(proxy: string, body: Body, token?: string): Promise<CallerResponse>;
	/** The way in of a proxy, for transactions. */
	getEntry(proxy: string): Entry;
	/** Asks what became of a request. */
	askOutcome(proxy: string, requestId: string, token?: string): Promise<CallerResponse>;
	/** A request id made now. */
	createId(): string;
	/** Parts a proxy and a server from all other proxies and servers, which still reach each other. */
	cutOff(proxy: string, server: DatabaseServer): void;
	/** Ends a proxy towards the others; what it has sent to a server is still on its way. */
	killProcess(proxy: string): void;
	/** The network between a proxy and a server. */
	getLink(proxy: string, server: DatabaseServer): Link;
	/** The server that is primary at the highest term. */
	getPrimaryOrThrow(): DatabaseServer;
	/** Scores of the member's nights as the primary holds them, in the order in which they were written. */
	getScores(member?: string): string;
};

/** What a proof's system has that others' have not. */
export type ProofOptions = Pick<SimulatedGroup, 'config' | 'sizes'> & Partial<Pick<SimulatedSystemOptions, 'proxies' | 'wrapEndpoints'>>;

export const MEMBER = 'm-17';

/** A sync of one night, which no caller may see doubled. */
export const sync = (score: number, more: Body = {}): Body => ({
	kind: 'write', statement: 'INSERT INTO nights (member, score) VALUES ($1, $2)', values: [MEMBER, score], ...more,
});

/** A coach's pull of the member's nights. */
export const pull = (more: Body = {}): Body => ({
	kind: 'read', statement: 'SELECT score FROM nights WHERE member = $1', values: [MEMBER], ...more,
});

/** Declares a proof: what the story's steps answer, against what they must. */
export function doProof(title: string, play: (proof: Proof) => Promise<readonly string[]>, expected: readonly string[], options: ProofOptions = {}): void {
	it(title, async () => {
		const system = createSimulatedSystem({
			proxies: options.proxies ?? 3,
			availabilityZones: ['hall-a', 'hall-b', 'hall-c', 'hall-d'],
			groups: [{
				name: GROUP, availabilityZones: ['hall-a', 'hall-b', 'hall-c'], config: options.config, sizes: options.sizes,
			}],
			wrapEndpoints: options.wrapEndpoints,
		});
		await system.start();
		try {
			expect(await play(createProof(system))).to.deep.equal(expected);
		} finally {
			await system.stop();
		}
	});
}

/** One line for an answer: its outcome with the scores that it shows, or with the reason for the refusal. */
export function say({outcome, refusal, rows}: CallerResponse): string {
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
		askOutcome: async (proxy, requestId, token) => clock.runUntil(getEntry(proxy).resolveOutcome(GROUP, requestId, token)),
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
			return `stands: ${rows.map(({row}) => String(row.score)).join(', ') || 'nothing'}`;
		},
	};
}

function throwNoPrimary(): never {
	throw new Error('no server is primary');
}
