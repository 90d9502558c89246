import type {EndpointDirectory} from '../links/endpoint-directory.js';
import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointPool} from '../links/endpoint-pool.js';
import {LinkError} from '../links/link-errors.js';
import type {Log} from '../log/log.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {PrimaryLeases} from './primary-leases.js';
import type {LeadershipRecord} from './leadership-record.js';

/** Renews leases from the responses of a group's endpoints while the store does not confirm. */
export type FenceCheck = {
	/** Asks a steady group's endpoints for fences if its lease has not been renewed for a while. */
	check(record: LeadershipRecord): Promise<void>;
};

/** What {@link createFenceCheck} needs. */
export type FenceCheckOptions = {
	readonly directory: EndpointDirectory;
	readonly primaryLeases: PrimaryLeases;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	/** Whether this host reads the store for all hosts, and so is the first to know that the store does not respond. */
	readsForAll(): boolean;
	countHosts(): number;
};

/** Age of a lease at which the host that reads the store for all asks endpoints for fences, in milliseconds: two confirmations that did not come. */
const FENCE_CHECK_AFTER_MS = 1500;

/** Age of a lease at which all other hosts ask, in milliseconds: by then the result of the first host has had time to arrive along the host tree. */
const OTHER_HOSTS_CHECK_AFTER_MS = 2100;

/** Interval of these requests, in milliseconds: two fit into the rest of the lease. */
const FENCE_CHECK_INTERVAL_MS = 400;

/**
 * Number of hosts that may each ask once per interval; in a larger fleet the interval grows in proportion. Each request takes one of an endpoint's
 * slots, and hundreds of hosts may ask when the first one found a fence or got no response.
 */
const HOSTS_AT_SHORTEST_INTERVAL = 16;

/** Timeout of such a request, in milliseconds: a status request waits for a slot behind other statements. */
const FENCE_CHECK_TIMEOUT_MS = 800;

/** Creates the check. */
export function createFenceCheck({directory, primaryLeases, clock, elapsedClock, log, readsForAll, countHosts}: FenceCheckOptions): FenceCheck {
	/** By group, the steady time before which its endpoints are not asked again. */
	const notBefore = new Map<string, number>();

	/**
	 * Keeps traffic going when neither the store nor a peer confirms, as in a store outage while a host is dead. A host that
	 * promotes an endpoint without this host's response has fenced it first and then waited for the duration of a primary lease.
	 * So if no endpoint that could be promoted reports a fence, no such wait had begun when the request was sent.
	 */
	const check = async (record: LeadershipRecord) => {
		const askedAt = elapsedClock.elapsed();
		const age = askedAt - (primaryLeases.getAskedAt(record.group) ?? askedAt);
		if (age < FENCE_CHECK_AFTER_MS) {
			return;
		}

		const isFirst = readsForAll();
		if ((!isFirst && age < OTHER_HOSTS_CHECK_AFTER_MS) || clock.now() < (notBefore.get(record.group) ?? 0)) {
			return;
		}

		notBefore.set(record.group, clock.now() + (isFirst ? FENCE_CHECK_INTERVAL_MS : getIntervalMs(countHosts())));
		const others = directory.list(record.group).filter(({entry}) => entry.id !== record.primaryId);
		const results = await Promise.all(others.map(async ({pool}) => isUnfenced(pool, record.term)));
		const unfenced = others.length > 0 && results.every(Boolean);
		if (unfenced) {
			primaryLeases.noteUnfenced(record.group, record.epoch, askedAt);
		}

		log.info('endpoints were asked for fences, since the store does not confirm', {
			group: record.group, epoch: record.epoch, asked: others.length, unfenced, ageMs: Math.round(age),
		});
	};

	const isUnfenced = async (pool: EndpointPool, term: number) => {
		try {
			const bounded = await withinMs(clock, FENCE_CHECK_TIMEOUT_MS, pool.sendCommand({kind: 'status'}, FENCE_CHECK_TIMEOUT_MS));
			return !bounded.timedOut && bounded.value.role === EndpointRole.Replica && bounded.value.fencedTerm <= term && bounded.value.term <= term;
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			return false;
		}
	};

	return {check};
}

/** Returns the interval of a host that is not the first to ask, in milliseconds. */
function getIntervalMs(hosts: number): number {
	return FENCE_CHECK_INTERVAL_MS * Math.max(1, hosts / HOSTS_AT_SHORTEST_INTERVAL);
}
