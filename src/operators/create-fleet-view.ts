import type {Configuration} from '../configuration/configuration.js';
import type {Service} from '../kernel/service.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import type {OwnersService} from '../owners/create-owners.js';
import type {PeerCalls} from '../peers/peer-calls.js';
import type {Peers} from '../peers/peers.js';
import type {PlatformHost} from '../object-store/platform.js';
import type {RecentSessions} from '../sessions/recent-sessions.js';
import type {Clock} from '../time/clock.js';
import type {
	EndpointRow, FleetView, HostRow, PromoteAnswer, SessionRow,
} from './fleet-view.js';
import {
	describeOwnedEndpoint, describeUnseenEndpoint, getAskedGroups, mergeEndpointRows,
} from './own-view.js';

/** What the fleet view is made from. */
export type FleetViewOptions = {
	readonly clock: Clock;
	readonly configuration: Configuration;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly owners: OwnersService;
	readonly peers: Peers;
	readonly sightings: RecentSessions;
};

/** Longest time for one host's part of an answer, in milliseconds. */
const HOST_TIMEOUT_MS = 1000;

/** Hosts asked at once, so that a question does not stir the whole fleet in one moment. */
const HOSTS_AT_ONCE = 32;

/** Most hosts asked for their sessions; the newest sightings at one's own host come first. */
const MOST_HOSTS_ASKED = 64;

/** Most sessions named. */
const MOST_SESSIONS = 200;

/** Bound of a planned change of primary, in milliseconds. */
const PROMOTE_DEADLINE_MS = 8000;

/** Creates the operators' view of owners, sessions and hosts, and answers other hosts' questions for theirs. */
export function createFleetView(options: FleetViewOptions): FleetView & Service {
	const {
		clock, configuration, hosts, owning, owners, peers, sightings,
	} = options;

	const getMoment = () => ({host: hosts.self.name, now: clock.now(), wallMs: clock.wall()});

	const getOwnEndpoints = (group: string): EndpointRow[] => {
		const owner = owners.getOwner(group);
		const endpoints = configuration.getGroup(group)?.cfg.endpoints ?? [];
		return owner ? endpoints.map(endpoint => describeOwnedEndpoint(owner, endpoint, getMoment())) : [];
	};

	const getOwnSessions = (sessionId?: string): SessionRow[] => sightings.getAll()
		.filter(({id}) => sessionId === undefined || id === sessionId)
		.slice(0, MOST_SESSIONS)
		.map(sighting => ({...sighting, host: hosts.self.name}));

	const promoteHere = async (group: string, endpoint: string, deadlineMs: number): Promise<PromoteAnswer> => {
		const owner = owners.getOwner(group);
		if (!owner) {
			return {promoted: false, reason: `host ${hosts.self.name} does not look after group ${group}`};
		}

		try {
			await owner.switchTo(endpoint, deadlineMs);
			return {promoted: true};
		} catch (err) {
			return {promoted: false, reason: (err as Error).message};
		}
	};

	/** Asks one host, this one without a call; undefined where it gave no answer. */
	const askHost = async <K extends keyof PeerCalls>(host: PlatformHost, kind: K, req: PeerCalls[K]['req'], here: () => PeerCalls[K]['res']) => {
		if (host.name === hosts.self.name) {
			return here();
		}

		try {
			return await peers.call(host.address, kind, req, HOST_TIMEOUT_MS);
		} catch {
			return undefined;
		}
	};

	const askInWaves = async <T>(asked: readonly PlatformHost[], ask: (host: PlatformHost) => Promise<T>): Promise<T[]> => {
		const answers: T[] = [];
		for (let first = 0; first < asked.length; first += HOSTS_AT_ONCE) {
			const wave = asked.slice(first, first + HOSTS_AT_ONCE);
			answers.push(...await Promise.all(wave.map(async host => ask(host))));
		}

		return answers;
	};

	const getGroupRows = async (group: string): Promise<EndpointRow[]> => {
		const cfg = configuration.getGroup(group)?.cfg;
		if (!cfg) {
			return [];
		}

		const asked = owning.getOwners(group, cfg.owners, clock.now());
		const answers = await askInWaves(asked, async host => askHost(host, 'fleet-endpoints', {group}, () => ({endpoints: getOwnEndpoints(group)})));
		return cfg.endpoints.map(endpoint => {
			let row = describeUnseenEndpoint(group, endpoint);
			for (const answer of answers) {
				const seen = answer?.endpoints.find(({name}) => name === endpoint.name);
				row = seen ? mergeEndpointRows(row, seen) : row;
			}

			return {...row, order: endpoint.order, orderedAt: endpoint.orderedAt};
		});
	};

	const getSessionsOf = async (sessionId?: string): Promise<SessionRow[]> => {
		const asked = hosts.getUsable(clock.now()).slice(0, MOST_HOSTS_ASKED);
		const answers = await askInWaves(asked, async host =>
			askHost(host, 'fleet-sessions', {sessionId}, () => ({sessions: getOwnSessions(sessionId)})));
		return answers.flatMap(answer => answer?.sessions ?? [])
			.sort((left, right) => right.seenAt - left.seenAt)
			.slice(0, MOST_SESSIONS);
	};

	const getHostRow = async (host: PlatformHost): Promise<HostRow> => {
		const answer = await askHost(host, 'fleet-host', {}, () => ({configRevision: configuration.revision}));
		const {name, availabilityZone, address, state} = host;
		return {
			name, availabilityZone, address, state, reachable: answer !== undefined, configRevision: answer?.configRevision,
		};
	};

	return {
		async getEndpoints(group) {
			const rows: EndpointRow[] = [];
			for (const name of getAskedGroups(configuration, group)) {
				rows.push(...await getGroupRows(name));
			}

			return rows;
		},
		getSessions: async () => getSessionsOf(),
		async getSession(sessionId) {
			const [newest] = await getSessionsOf(sessionId);
			return newest;
		},
		getHosts: async () => askInWaves(hosts.getAll(), getHostRow),
		async promote(group, endpoint) {
			const cfg = configuration.getGroup(group)?.cfg;
			const [first] = cfg ? owning.getOwners(group, cfg.owners, clock.now()) : [];
			if (!first) {
				return {promoted: false, reason: `no live host looks after group ${group}`};
			}

			if (first.name === hosts.self.name) {
				return promoteHere(group, endpoint, PROMOTE_DEADLINE_MS);
			}

			try {
				return await peers.call(first.address, 'fleet-promote', {group, endpoint, deadlineMs: PROMOTE_DEADLINE_MS}, PROMOTE_DEADLINE_MS + HOST_TIMEOUT_MS);
			} catch (err) {
				return {promoted: false, reason: `host ${first.name} gave no answer, so look at the endpoints before trying again: ${(err as Error).message}`};
			}
		},
		async start() {
			peers.handle('fleet-endpoints', async ({group}) => ({endpoints: getOwnEndpoints(group)}));
			peers.handle('fleet-sessions', async ({sessionId}) => ({sessions: getOwnSessions(sessionId)}));
			peers.handle('fleet-host', async () => ({configRevision: configuration.revision}));
			peers.handle('fleet-promote', async ({group, endpoint, deadlineMs}) => promoteHere(group, endpoint, deadlineMs));
		},
	};
}
