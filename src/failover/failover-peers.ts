import type {Endpoints, EndpointStatus} from '../endpoints/endpoint.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import type {ConfirmSuspicionRequest} from './failover-calls.js';
import type {FailoverSettings} from './failover-settings.js';
import {throwWitnessPaused} from './failover-errors.js';
import {detectFailure} from './failure-detector.js';
import {ProbeResult} from './probe.js';

/** Answers the failover's peer calls on this host, for every group it looks after and as a witness for the others. */
export type FailoverPeers = {
	/** The way to the other proxies. */
	readonly peers: Peers;
	/** Asks a server on a connection of its own: an old one may have gone silent while the server is well. */
	getStatus(address: string, timeoutMs: number): Promise<EndpointStatus>;
	/** Hands the calls that concern a group to its failover. */
	register(group: string, member: FailoverMember): void;
	/** Ends that, unless another member took the group over. */
	unregister(group: string, member: FailoverMember): void;
};

/** One group's failover as its peers reach it. */
export type FailoverMember = {
	/** Asks the server at that address on the connection kept for control. */
	getStatus(address: string, timeoutMs: number): Promise<EndpointStatus>;
	/** Another owner cannot reach the server at that address, nor can this host. */
	suspectAddress(address: string): void;
	hold(holdId: string, ms: number): Promise<boolean>;
	release(holdId: string): void;
	/** Another owner raised a primary. */
	observePrimary(endpoint: string, status: EndpointStatus): void;
};

/** What {@link createFailoverPeers} needs. */
export type FailoverPeersOptions = {
	readonly peers: Peers;
	readonly endpoints: Endpoints;
	readonly clock: Clock;
	readonly settings: FailoverSettings;
};

/** Creates the answering side and registers it with the peers. */
export function createFailoverPeers(options: FailoverPeersOptions): FailoverPeers {
	const {peers, endpoints, clock, settings} = options;
	const members = new Map<string, FailoverMember>();

	const getStatus = async (address: string, ms: number): Promise<EndpointStatus> => {
		const endsAt = clock.now() + ms;
		const connection = await endpoints.getEndpoint(address).connect(ms);
		try {
			return await connection.status(Math.max(1, endsAt - clock.now()));
		} finally {
			connection.destroy();
		}
	};

	/** Probes a server; rejects where this process was paused meanwhile and its failure to answer says nothing. */
	const probeAddress = async (group: string, address: string, ms: number): Promise<EndpointStatus | undefined> => {
		const member = members.get(group);
		let status: EndpointStatus | undefined;
		const note = async (answer: Promise<EndpointStatus>) => {
			status = await answer;
		};

		const result = await detectFailure({
			clock,
			settings,
			headStartMs: 0,
			silenceMs: ms,
			askKept: member && (async timeoutMs => note(member.getStatus(address, timeoutMs))),
			askFresh: async timeoutMs => note(getStatus(address, timeoutMs)),
		});
		return result === ProbeResult.Paused ? throwWitnessPaused(address) : status;
	};

	const confirmSuspicion = async (req: ConfirmSuspicionRequest) => {
		const probes = await Promise.all(req.addresses.map(async address => ({address, status: await probeAddress(req.group, address, req.probeMs)})));
		for (const {address} of probes.filter(({status}) => status === undefined)) {
			members.get(req.group)?.suspectAddress(address);
		}

		return {seen: probes.flatMap(({address, status}) => status ? [{address, status}] : [])};
	};

	peers.handle('confirm-suspicion', confirmSuspicion);
	// A host that does not look after the group sends it no writes and has nothing to hold.
	peers.handle('hold-writes', async req => ({held: await (members.get(req.group)?.hold(req.holdId, req.ms) ?? true)}));
	peers.handle('release-writes', async req => {
		members.get(req.group)?.release(req.holdId);
		return {noted: true};
	});
	peers.handle('tell-primary', async req => {
		members.get(req.group)?.observePrimary(req.endpoint, req.status);
		return {noted: true};
	});

	return {
		peers,
		getStatus,
		register(group, member) {
			members.set(group, member);
		},
		unregister(group, member) {
			if (members.get(group) === member) {
				members.delete(group);
			}
		},
	};
}

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		failoverPeers: FailoverPeers;
	}
}
