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
	EndpointRow, FleetView, HostRow, PromoteResult, SessionRow,
} from './fleet-view.js';
import {
	describeOwnedEndpoint, describeUnseenEndpoint, getRequestedGroups, mergeEndpointRows,
} from './endpoint-rows.js';

/** Options of {@link createFleetView}. */
export type FleetViewOptions = {
	readonly clock: Clock;
	readonly configuration: Configuration;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly owners: OwnersService;
	readonly peers: Peers;
	readonly recentSessions: RecentSessions;
};

/** Timeout of a query to one host, in milliseconds. */
const HOST_TIMEOUT_MS = 1000;

/** Maximum number of hosts that are queried at the same time, so that one command does not load the whole fleet at once. */
const MAX_CONCURRENT_CALLS = 32;

/** Maximum number of hosts queried for their sessions; each host returns the sessions seen last first. */
const MAX_HOSTS_QUERIED = 64;

/** Maximum number of sessions returned. */
const MAX_SESSIONS = 200;

/** Time limit of a planned change of primary, in milliseconds. */
const PROMOTE_DEADLINE_MS = 8000;

/** Creates the operators' view of owners, sessions and hosts, and registers the peer calls by which other hosts query this one. */
export function createFleetView(options: FleetViewOptions): FleetView & Service {
	const {
		clock, configuration, hosts, owning, owners, peers, recentSessions,
	} = options;

	const getContext = () => ({host: hosts.self.name, now: clock.now(), wallMs: clock.wall()});

	const getOwnEndpoints = (group: string): EndpointRow[] => {
		const owner = owners.getOwner(group);
		const endpoints = configuration.getGroup(group)?.cfg.endpoints ?? [];
		return owner ? endpoints.map(endpoint => describeOwnedEndpoint(owner, endpoint, getContext())) : [];
	};

	const getOwnSessions = (sessionId?: string): SessionRow[] => recentSessions.getAll()
		.filter(({id}) => sessionId === undefined || id === sessionId)
		.slice(0, MAX_SESSIONS)
		.map(session => ({...session, host: hosts.self.name}));

	const promoteHere = async (group: string, endpoint: string, deadlineMs: number): Promise<PromoteResult> => {
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

	/** Queries one host, without a peer call for this host itself; resolves with undefined where the host did not respond. */
	const queryHost = async <K extends keyof PeerCalls>(host: PlatformHost, kind: K, req: PeerCalls[K]['req'], here: () => PeerCalls[K]['res']) => {
		if (host.name === hosts.self.name) {
			return here();
		}

		try {
			return await peers.call(host.address, kind, req, HOST_TIMEOUT_MS);
		} catch {
			return undefined;
		}
	};

	const queryInBatches = async <T>(queried: readonly PlatformHost[], query: (host: PlatformHost) => Promise<T>): Promise<T[]> => {
		const responses: T[] = [];
		for (let first = 0; first < queried.length; first += MAX_CONCURRENT_CALLS) {
			const batch = queried.slice(first, first + MAX_CONCURRENT_CALLS);
			responses.push(...await Promise.all(batch.map(async host => query(host))));
		}

		return responses;
	};

	const getGroupRows = async (group: string): Promise<EndpointRow[]> => {
		const cfg = configuration.getGroup(group)?.cfg;
		if (!cfg) {
			return [];
		}

		const queried = owning.getOwners(group, cfg.owners, clock.now());
		const responses = await queryInBatches(queried, async host => queryHost(host, 'fleet-endpoints', {group}, () => ({endpoints: getOwnEndpoints(group)})));
		return cfg.endpoints.map(endpoint => {
			let row = describeUnseenEndpoint(group, endpoint);
			for (const response of responses) {
				const seen = response?.endpoints.find(({name}) => name === endpoint.name);
				row = seen ? mergeEndpointRows(row, seen) : row;
			}

			return {...row, order: endpoint.order, orderedAt: endpoint.orderedAt};
		});
	};

	const querySessions = async (sessionId?: string): Promise<SessionRow[]> => {
		const queried = hosts.getUsable(clock.now()).slice(0, MAX_HOSTS_QUERIED);
		const responses = await queryInBatches(queried, async host =>
			queryHost(host, 'fleet-sessions', {sessionId}, () => ({sessions: getOwnSessions(sessionId)})));
		return responses.flatMap(response => response?.sessions ?? [])
			.sort((left, right) => right.seenAt - left.seenAt)
			.slice(0, MAX_SESSIONS);
	};

	const getHostRow = async (host: PlatformHost): Promise<HostRow> => {
		const response = await queryHost(host, 'fleet-host', {}, () => ({configRevision: configuration.revision}));
		const {name, availabilityZone, address, state} = host;
		return {
			name, availabilityZone, address, state, reachable: response !== undefined, configRevision: response?.configRevision,
		};
	};

	return {
		async getEndpoints(group) {
			const rows: EndpointRow[] = [];
			for (const name of getRequestedGroups(configuration, group)) {
				rows.push(...await getGroupRows(name));
			}

			return rows;
		},
		getSessions: async () => querySessions(),
		async getSession(sessionId) {
			const [newest] = await querySessions(sessionId);
			return newest;
		},
		getHosts: async () => queryInBatches(hosts.getAll(), getHostRow),
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
