import type {EndpointDirectory, KnownEndpoint} from '../links/endpoint-directory.js';
import {SILENT_AFTER_MS, Suspicion} from '../links/endpoint-health.js';
import {LinkError} from '../links/link-errors.js';
import type {PoolHosts} from '../connection-sharing/pool-hosts.js';
import type {Log} from '../log/log.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import {LEADERSHIP_CALL_TIMEOUT_MS} from './leadership-calls.js';

/** Whether this host and the other hosts reach the primaries. */
export type PrimaryReachability = {
	/** Resolves to whether the endpoint responds to this host, from a new probe, one in progress or one that has just failed. */
	probe(endpointId: string): Promise<boolean>;
	/** Starts a probe if the endpoint has owed a response for long, so that the probe has ended by the time that the endpoint counts as silent. */
	probeEarly(endpointId: string): void;
	/** Resolves to whether the endpoint responds to this host, without a probe if recent responses or their absence suffice. */
	isReachable(endpointId: string): Promise<boolean>;
	/** Asks other hosts about a primary that this host has not reached for `suspectedMs` and resolves to the verdict. */
	evaluate(group: string, endpointId: string, suspectedMs: number): Promise<ReachVerdict>;
};

/** The verdict on a primary that one host cannot reach. */
export const ReachVerdict = {
	/** At least half of the hosts that responded do not reach it. */
	Lost: 'lost',
	/** Enough hosts responded, and most of those reach it. */
	ReachedByOthers: 'reached-by-others',
	/** Too few hosts responded. */
	Undecided: 'open',
} as const;

/** One of the verdicts in {@link ReachVerdict}. */
export type ReachVerdict = typeof ReachVerdict[keyof typeof ReachVerdict];

/** What {@link createPrimaryReachability} needs. */
export type PrimaryReachabilityOptions = {
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly poolHosts: PoolHosts;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly log: Log;
	readonly ownPeerAddress: string;
};

/** Timeout of a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;

/**
 * An endpoint that has owed a response for this long is probed, in milliseconds, so that the probe has failed by the time that the endpoint counts as
 * silent. If it were probed only then, an unreachable primary would be replaced later by the duration of the probe.
 */
const EARLY_PROBE_AFTER_MS = SILENT_AFTER_MS - PROBE_TIMEOUT_MS;

/** An endpoint that responded within this time needs no probe, in milliseconds. */
const RECENT_RESPONSE_MS = 50;

/** Without responses from most hosts a primary counts as lost only after this time, in milliseconds: longer than hosts take to restart, or than a network partition usually lasts. */
const MAJORITY_NOT_REQUIRED_AFTER_MS = 8000;

/** Resolves once either promise does; rejects as the first of them if both reject. */
async function getFirst(left: Promise<unknown>, right: Promise<unknown>): Promise<unknown> {
	try {
		return await Promise.any([left, right]);
	} catch {
		return left;
	}
}

/** Creates the reachability checks and responds to those of other hosts. */
export function createPrimaryReachability({mirror, directory, poolHosts, peers, clock, log, ownPeerAddress}: PrimaryReachabilityOptions): PrimaryReachability {
	/** Probes in progress, by endpoint. */
	const probes = new Map<string, Promise<boolean>>();
	/** Time at which a probe last failed, by endpoint. */
	const failedAt = new Map<string, number>();

	/**
	 * Whether the endpoint owes answers, perhaps because its commits wait for replicas: then only new connections show whether it is alive. Guards against the
	 * replacement of a primary whose replicas receive nothing for a while.
	 */
	const mayStall = (endpoint: KnownEndpoint) => waitsForReplicas(endpoint) && owesAnswersFor(endpoint, EARLY_PROBE_AFTER_MS);

	const owesAnswersFor = ({pool: {health: {awaitingSince}}}: KnownEndpoint, ms: number) => awaitingSince !== undefined && clock.now() - awaitingSince > ms;

	const waitsForReplicas = ({entry}: KnownEndpoint) => (mirror.state.routing?.groups.get(entry.group)?.syncReplicas ?? 0) > 0;

	const probeAnew = async (endpointId: string): Promise<boolean> => {
		const endpoint = directory.get(endpointId);
		if (!endpoint) {
			return false;
		}

		try {
			const askedAt = clock.now();
			const status = endpoint.pool.sendCommand({kind: 'status'}, PROBE_TIMEOUT_MS);
			await withinMs(clock, PROBE_TIMEOUT_MS, mayStall(endpoint) ? getFirst(status, endpoint.pool.greet(PROBE_TIMEOUT_MS)) : status);
			return (endpoint.pool.health.lastReceivedAt ?? 0) >= askedAt;
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			// A refusal because no connection is free proves that the endpoint is alive as well.
			return endpoint.pool.health.getSuspicion(clock.now()) === undefined;
		}
	};

	const probe = async (endpointId: string): Promise<boolean> => {
		const lastReceivedAt = directory.get(endpointId)?.pool.health.lastReceivedAt ?? 0;
		const failed = failedAt.get(endpointId);
		if (failed !== undefined && lastReceivedAt < failed && clock.now() - failed < PROBE_TIMEOUT_MS) {
			return false;
		}

		const underWay = probes.get(endpointId) ?? probeOnce(endpointId);
		probes.set(endpointId, underWay);
		return underWay;
	};

	const probeOnce = async (endpointId: string): Promise<boolean> => {
		try {
			const responds = await probeAnew(endpointId);
			if (!responds) {
				failedAt.set(endpointId, clock.now());
			}

			return responds;
		} finally {
			probes.delete(endpointId);
		}
	};

	const isReachable = async (endpointId: string) => {
		const endpoint = directory.get(endpointId);
		const health = endpoint?.pool.health;
		if (endpoint && !waitsForReplicas(endpoint) && health?.getSuspicion(clock.now()) === Suspicion.Silent) {
			// The endpoint has owed this host a response for long already; a probe would only lengthen the time without a primary.
			return false;
		}

		const respondedRecently = health?.lastReceivedAt !== undefined && clock.now() - health.lastReceivedAt < RECENT_RESPONSE_MS;
		return respondedRecently || probe(endpointId);
	};

	/**
	 * A healthy primary must not be replaced because one host is cut off from it, so at least half of the hosts that respond must not reach it.
	 * Most hosts must respond, since otherwise the smaller part of a partitioned fleet would take the primary from the hosts that use it.
	 */
	const evaluate = async (group: string, endpointId: string, suspectedMs: number): Promise<ReachVerdict> => {
		const {hosts, count: all} = getPoolHosts(group, endpointId);
		const others = hosts.filter(host => host.peerAddress !== ownPeerAddress);
		const reports = await gatherReports(others.map(({peerAddress}) => peerAddress), endpointId);
		const against = 1 + reports.filter(reachable => !reachable).length;
		const answered = reports.length + 1;
		const isEnough = answered * 2 > all || suspectedMs > MAJORITY_NOT_REQUIRED_AFTER_MS;
		log.info('hosts were asked about a primary', {
			group, endpoint: endpointId, against, answered, hosts: all, suspectedMs: Math.round(suspectedMs),
		});
		if (!isEnough) {
			return ReachVerdict.Undecided;
		}

		return against * 2 >= answered ? ReachVerdict.Lost : ReachVerdict.ReachedByOthers;
	};

	/**
	 * Returns the hosts that have connections to the endpoint and so can tell, and the number of which a majority is needed. If every host has
	 * connections, hosts that are marked as unresponsive count as well: the smaller part of a partitioned fleet may have marked the larger.
	 */
	const getPoolHosts = (group: string, id: string) => {
		const hosts = poolHosts.getHosts({id, group});
		return {hosts, count: poolHosts.isShared({id, group}) ? hosts.length : mirror.state.hosts.length};
	};

	/**
	 * Asks hosts until those that have not responded can no longer change the verdict: a dead one would otherwise delay it by its timeout of 400 ms.
	 */
	const gatherReports = async (addresses: readonly string[], endpointId: string): Promise<readonly boolean[]> => {
		const all = addresses.length + 1;
		const reports: boolean[] = [];
		await new Promise<void>((resolve, reject) => {
			let outstanding = addresses.length;
			const addReport = (reachable: boolean | undefined) => {
				outstanding--;
				if (reachable !== undefined) {
					reports.push(reachable);
				}

				const reaching = reports.filter(Boolean).length;
				const against = 1 + reports.length - reaching;
				const isDecided = (reports.length + 1) * 2 > all && (against * 2 >= all || reaching * 2 > all);
				if (outstanding === 0 || isDecided) {
					resolve();
				}
			};

			if (outstanding === 0) {
				resolve();
			}

			for (const address of addresses) {
				requestReport(address, endpointId).then(addReport).catch(reject);
			}
		});
		return [...reports];
	};

	const requestReport = async (address: string, endpointId: string) => {
		try {
			const {reachable} = await peers.call(address, 'lead-opinion', {endpointId}, LEADERSHIP_CALL_TIMEOUT_MS);
			return reachable;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			return undefined;
		}
	};

	const probeEarly = (endpointId: string) => {
		const endpoint = directory.get(endpointId);
		if (endpoint && owesAnswersFor(endpoint, EARLY_PROBE_AFTER_MS)) {
			probe(endpointId).catch((err: unknown) => {
				log.error('a probe failed', {err});
			});
		}
	};

	peers.handle('lead-opinion', async ({endpointId}) => ({reachable: await isReachable(endpointId)}));

	return {
		probe, isReachable, evaluate, probeEarly,
	};
}
