import type {Endpoints, EndpointStatus} from '../endpoints/endpoint.js';
import {throwNoAnswer} from '../endpoints/endpoint-errors.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {ConfirmSuspicionRequest} from './failover-calls.js';
import type {FailoverSettings} from './failover-settings.js';
import {probe, ProbeResult} from './probe.js';

/** Answers the failover's peer calls on this host, for every group it looks after and as a witness for the others. */
export type FailoverPeers = {
	/** The way to the other proxies. */
	readonly peers: Peers;
	/** Hands the calls that concern a group to its failover. */
	register(group: string, member: FailoverMember): void;
	/** Ends that, unless another member took the group over. */
	unregister(group: string, member: FailoverMember): void;
};

/** One group's failover as its peers reach it. */
export type FailoverMember = {
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
		// On a connection of its own: an old one may have gone silent while the server is well.
		const connection = await endpoints.getEndpoint(address).connect(ms);
		try {
			return await connection.status(Math.max(1, endsAt - clock.now()));
		} finally {
			connection.destroy();
		}
	};

	const probeOnce = async (address: string, timeoutMs: number) => {
		let status: EndpointStatus | undefined;
		const result = await probe({
			clock,
			timeoutMs,
			pauseSlackMs: settings.pauseSlackMs,
			async exchange(ms) {
				const bounded = await withinMs(clock, ms, getStatus(address, ms));
				status = bounded.timedOut ? throwNoAnswer(address, 'a probe') : bounded.value;
			},
		});
		return {result, status};
	};

	/** Probes for the whole time where the server is silent, a little longer than once where it refuses. */
	const probeAddress = async (address: string, ms: number): Promise<EndpointStatus | undefined> => {
		const startedAt = clock.now();
		for (;;) {
			const tookMs = clock.now() - startedAt;
			const {result, status} = await probeOnce(address, Math.max(settings.probeRetryMs, ms - tookMs));
			if (result === ProbeResult.Answered || result === ProbeResult.Silent) {
				return status;
			}

			if (result === ProbeResult.Refused && clock.now() - startedAt >= settings.refusedMs) {
				return undefined;
			}

			await clock.sleep(settings.probeRetryMs);
		}
	};

	const confirmSuspicion = async (req: ConfirmSuspicionRequest) => {
		const probes = await Promise.all(req.addresses.map(async address => ({address, status: await probeAddress(address, req.probeMs)})));
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
