import type {Endpoints, EndpointStatus} from '../endpoints/endpoint.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import type {ConfirmSuspicionRequest} from './failover-calls.js';
import type {FailoverSettings} from './failover-settings.js';
import {throwWitnessPaused} from './failover-errors.js';
import {detectFailure} from './failure-detector.js';
import {ProbeResult} from './probe.js';

/** Handles the failover's peer calls on this host, for the groups that it owns and, as a witness, for the others. */
export type FailoverPeers = {
	/** The connections to the other proxies. */
	readonly peers: Peers;
	/** Requests a server's status on a fresh connection, since an old one may be silent although the server is healthy. */
	getStatus(address: string, timeoutMs: number): Promise<EndpointStatus>;
	/** Routes the calls that concern a group to its failover. */
	register(group: string, member: FailoverMember): void;
	/** Ends that, unless another member was registered for the group since. */
	unregister(group: string, member: FailoverMember): void;
};

/** One group's failover as its peers call it. */
export type FailoverMember = {
	/** Requests the status of the server at that address on the control connection. */
	getStatus(address: string, timeoutMs: number): Promise<EndpointStatus>;
	/** Called where neither another host nor this one reaches the server at that address. */
	suspectAddress(address: string): void;
	hold(holdId: string, ms: number): Promise<boolean>;
	release(holdId: string): void;
	/** Called when another owner promoted a primary. */
	observePrimary(endpoint: string, status: EndpointStatus): void;
};

/** Options of {@link createFailoverPeers}. */
export type FailoverPeersOptions = {
	readonly peers: Peers;
	readonly endpoints: Endpoints;
	readonly clock: Clock;
	readonly settings: FailoverSettings;
};

/** Creates the handlers and registers them with the peers. */
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

	/** Probes a server; rejects where this process was paused meanwhile, so that a missing answer says nothing about the server. */
	const probeAddress = async (group: string, address: string, ms: number): Promise<EndpointStatus | undefined> => {
		const member = members.get(group);
		let status: EndpointStatus | undefined;
		const recordStatus = async (answer: Promise<EndpointStatus>) => {
			status = await answer;
		};

		const result = await detectFailure({
			clock,
			settings,
			freshProbeDelayMs: 0,
			silenceMs: ms,
			probeOpen: member && (async timeoutMs => recordStatus(member.getStatus(address, timeoutMs))),
			probeFresh: async timeoutMs => recordStatus(getStatus(address, timeoutMs)),
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
	// A host that does not own the group sends it no writes and has none to hold.
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
