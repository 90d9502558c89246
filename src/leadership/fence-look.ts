import type {EndpointDirectory} from '../links/endpoint-directory.js';
import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointPool} from '../links/endpoint-pool.js';
import {LinkError} from '../links/link-errors.js';
import type {Log} from '../log/log.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {LeadEvidences} from './lead-evidence.js';
import type {LeadershipRecord} from './leadership-record.js';

/** Evidence from the endpoints themselves. */
export type FenceLook = {
	/** Asks a steady group's endpoints for fences, where its evidence grows old. */
	look(record: LeadershipRecord): Promise<void>;
};

/** What this needs. */
export type FenceLookOptions = {
	readonly directory: EndpointDirectory;
	readonly evidences: LeadEvidences;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	/** Whether this host reads the store for all, and so is the first to know that it does not answer. */
	readsForAll(): boolean;
	countHosts(): number;
};

/** The host that reads the store for all asks endpoints for fences once evidence is so old, in milliseconds: two confirmations that did not come. */
const FENCES_AFTER_MS = 1500;

/** All others ask once their evidence is so old, in milliseconds: what the first one found has then had time to come along the tree. */
const FENCES_AFTER_OTHERS_MS = 2100;

/** Pause between such questions, in milliseconds: two fit into what is left of the evidence. */
const FENCES_INTERVAL_MS = 400;

/**
 * Hosts of which each may ask once in that pause; in a larger fleet the pause is longer by as much. Guards endpoints, of whose slots each question takes one, against hundreds
 * of hosts that ask where the first one found a fence, or nobody.
 */
const HOSTS_ASKING_FREELY = 16;

/** Longest such question, in milliseconds: a status waits for a slot behind other statements. */
const FENCES_TIMEOUT_MS = 800;

/** Creates the look at fences. */
export function createFenceLook({directory, evidences, clock, elapsedClock, log, readsForAll, countHosts}: FenceLookOptions): FenceLook {
	/** By group, the steady time before which its endpoints are not asked again. */
	const notBefore = new Map<string, number>();

	/**
	 * Guards calm traffic where neither the store nor a peer confirms, as in an outage of the store with a host that is dead. Whoever
	 * promotes an endpoint without this host's word has fenced it first, and has waited from then on for as long as evidence lasts.
	 * So where every endpoint that could be promoted shows no fence, nobody's wait had begun at the time of asking.
	 */
	const look = async (record: LeadershipRecord) => {
		const askedAt = elapsedClock.elapsed();
		const age = askedAt - (evidences.getAskedAt(record.group) ?? askedAt);
		if (age < FENCES_AFTER_MS) {
			return;
		}

		const isFirst = readsForAll();
		if ((!isFirst && age < FENCES_AFTER_OTHERS_MS) || clock.now() < (notBefore.get(record.group) ?? 0)) {
			return;
		}

		notBefore.set(record.group, clock.now() + (isFirst ? FENCES_INTERVAL_MS : getPause(countHosts())));
		const others = directory.list(record.group).filter(({entry}) => entry.id !== record.primaryId);
		const answers = await Promise.all(others.map(async ({pool}) => isUnfenced(pool, record.term)));
		const unfenced = others.length > 0 && answers.every(Boolean);
		if (unfenced) {
			evidences.noteUnfenced(record.group, record.epoch, askedAt);
		}

		log.info('endpoints were asked for fences, since the store does not confirm', {
			group: record.group, epoch: record.epoch, asked: others.length, unfenced, ageMs: Math.round(age),
		});
	};

	const isUnfenced = async (pool: EndpointPool, term: number) => {
		try {
			const bounded = await withinMs(clock, FENCES_TIMEOUT_MS, pool.ask({kind: 'status'}, FENCES_TIMEOUT_MS));
			return !bounded.timedOut && bounded.value.role === EndpointRole.Replica && bounded.value.fencedTerm <= term && bounded.value.term <= term;
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			return false;
		}
	};

	return {look};
}

/** Pause of a host that is not the first to ask, in milliseconds. */
function getPause(hosts: number): number {
	return FENCES_INTERVAL_MS * Math.max(1, hosts / HOSTS_ASKING_FREELY);
}
