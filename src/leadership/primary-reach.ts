import type {EndpointDirectory} from '../links/endpoint-directory.js';
import {SILENT_AFTER_MS, Suspicion} from '../links/endpoint-health.js';
import {LinkError} from '../links/link-errors.js';
import type {Lenders} from '../lending/lenders.js';
import type {Log} from '../log/log.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import {LEAD_CALL_TIMEOUT_MS} from './lead-calls.js';

/** Whether primaries answer, as seen from here and from the other hosts. */
export type PrimaryReach = {
	/** Whether the endpoint answers this host, asked anew or as a probe found that has just ended. */
	probe(endpointId: string): Promise<boolean>;
	/** Begins a probe where the endpoint has owed an answer for long, so that it has ended by the time that its silence counts. */
	probeEarly(endpointId: string): void;
	/** The same, by what was heard lately where that tells. */
	isReachable(endpointId: string): Promise<boolean>;
	/** What the hosts together say of a primary that this one has not reached for `suspectedMs`. */
	judge(group: string, endpointId: string, suspectedMs: number): Promise<ReachVerdict>;
};

/** What hosts together say of a primary that one of them cannot reach. */
export const ReachVerdict = {
	/** Most do not reach it. */
	Lost: 'lost',
	/** Most answered, and most of those reach it. */
	ReachedByOthers: 'reached-by-others',
	/** Too few answered. */
	Open: 'open',
} as const;

/** One of the verdicts in {@link ReachVerdict}. */
export type ReachVerdict = typeof ReachVerdict[keyof typeof ReachVerdict];

/** What this needs. */
export type PrimaryReachOptions = {
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly lenders: Lenders;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly log: Log;
	readonly ownPeerAddress: string;
};

/** Longest probe of a primary that seems lost, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;

/**
 * An endpoint that owes an answer for so long is probed, in milliseconds, so that the probe has failed by the time that its silence
 * counts. Probed only then, a dark primary would be replaced later by the whole probe.
 */
const PROBE_AFTER_MS = SILENT_AFTER_MS - PROBE_TIMEOUT_MS;

/** What came within so long needs no probe, in milliseconds. */
const HEARD_LATELY_MS = 50;

/** Without the opinion of most hosts a primary counts as lost only after so long, in milliseconds: longer than hosts take to be back, or a cut usually lasts. */
const ALONE_AFTER_MS = 8000;

/** Creates the knowledge of who reaches whom, and answers the other hosts' questions for it. */
export function createPrimaryReach({mirror, directory, lenders, peers, clock, log, ownPeerAddress}: PrimaryReachOptions): PrimaryReach {
	/** Probes under way, by endpoint. */
	const probes = new Map<string, Promise<boolean>>();
	/** When a probe last failed, by endpoint. */
	const failedAt = new Map<string, number>();

	const probeAnew = async (endpointId: string): Promise<boolean> => {
		const endpoint = directory.get(endpointId);
		if (!endpoint) {
			return false;
		}

		try {
			const askedAt = clock.now();
			await withinMs(clock, PROBE_TIMEOUT_MS, endpoint.pool.ask({kind: 'status'}, PROBE_TIMEOUT_MS));
			return (endpoint.pool.health.heardAt ?? 0) >= askedAt;
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			// Refused for want of a free connection is a sign of life as well.
			return endpoint.pool.health.getSuspicion(clock.now()) === undefined;
		}
	};

	const probe = async (endpointId: string): Promise<boolean> => {
		const heardAt = directory.get(endpointId)?.pool.health.heardAt ?? 0;
		const failed = failedAt.get(endpointId);
		if (failed !== undefined && heardAt < failed && clock.now() - failed < PROBE_TIMEOUT_MS) {
			return false;
		}

		const underWay = probes.get(endpointId) ?? probeOnce(endpointId);
		probes.set(endpointId, underWay);
		return underWay;
	};

	const probeOnce = async (endpointId: string): Promise<boolean> => {
		try {
			const answers = await probeAnew(endpointId);
			if (!answers) {
				failedAt.set(endpointId, clock.now());
			}

			return answers;
		} finally {
			probes.delete(endpointId);
		}
	};

	const isReachable = async (endpointId: string) => {
		const health = directory.get(endpointId)?.pool.health;
		if (health?.getSuspicion(clock.now()) === Suspicion.Silent) {
			// It owes this host an answer for long already; a probe would only add to the gap.
			return false;
		}

		const heardLately = health?.heardAt !== undefined && clock.now() - health.heardAt < HEARD_LATELY_MS;
		return heardLately || probe(endpointId);
	};

	/**
	 * Guards against deposing a healthy primary for the sake of one host that is cut off from it: of the hosts that
	 * answer, at least half must not reach it either, and most hosts must answer: a part of the hosts that is cut off
	 * from the rest would else take the primary from those who use it.
	 */
	const judge = async (group: string, endpointId: string, suspectedMs: number): Promise<ReachVerdict> => {
		const {keepers, count: all} = getKeepers(group, endpointId);
		const others = keepers.filter(host => host.peerAddress !== ownPeerAddress);
		const known = await gatherOpinions(others.map(({peerAddress}) => peerAddress), endpointId);
		const against = 1 + known.filter(opinion => !opinion).length;
		const asked = known.length + 1;
		const enough = asked * 2 > all || suspectedMs > ALONE_AFTER_MS;
		log.info('hosts were asked about a primary', {
			group, endpoint: endpointId, against, answered: asked, hosts: all, suspectedMs: Math.round(suspectedMs),
		});
		if (!enough) {
			return ReachVerdict.Open;
		}

		return against * 2 >= asked ? ReachVerdict.Lost : ReachVerdict.ReachedByOthers;
	};

	/**
	 * Who has connections to the endpoint and so can tell, and how many count. Where each host has some, those that are marked count as well:
	 * the smaller part of a split may have marked the larger.
	 */
	const getKeepers = (group: string, id: string) => {
		const keepers = lenders.getKeepers({id, group});
		return {keepers, count: lenders.isShared({id, group}) ? keepers.length : mirror.state.hosts.length};
	};

	/** Asks hosts until those that have not answered cannot change the verdict any more: one that is dead would hold it up for its timeout of 400 ms. */
	const gatherOpinions = async (addresses: readonly string[], endpointId: string): Promise<readonly boolean[]> => {
		const all = addresses.length + 1;
		const known: boolean[] = [];
		await new Promise<void>((resolve, reject) => {
			let open = addresses.length;
			const note = (opinion: boolean | undefined) => {
				open--;
				if (opinion !== undefined) {
					known.push(opinion);
				}

				const reaching = known.filter(Boolean).length;
				const against = 1 + known.length - reaching;
				const isDecided = (known.length + 1) * 2 > all && (against * 2 >= all || reaching * 2 > all);
				if (open === 0 || isDecided) {
					resolve();
				}
			};

			if (open === 0) {
				resolve();
			}

			for (const address of addresses) {
				askOpinion(address, endpointId).then(note).catch(reject);
			}
		});
		return [...known];
	};

	const askOpinion = async (address: string, endpointId: string) => {
		try {
			const {reachable} = await peers.call(address, 'lead-opinion', {endpointId}, LEAD_CALL_TIMEOUT_MS);
			return reachable;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			return undefined;
		}
	};

	const probeEarly = (endpointId: string) => {
		const owesSince = directory.get(endpointId)?.pool.health.owesSince;
		if (owesSince !== undefined && clock.now() - owesSince > PROBE_AFTER_MS) {
			probe(endpointId).catch((err: unknown) => {
				log.error('a probe failed', {err});
			});
		}
	};

	peers.handle('lead-opinion', async ({endpointId}) => ({reachable: await isReachable(endpointId)}));

	return {
		probe, isReachable, judge, probeEarly,
	};
}
