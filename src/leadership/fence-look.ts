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
};

/** Endpoints are asked for fences once evidence is so old, in milliseconds: two confirmations that did not come: where all is well it is up to 1,600 old on a busy host. */
const FENCES_AFTER_MS = 2100;

/** Pause between such questions, in milliseconds: two fit into what is left of the evidence. */
const FENCES_INTERVAL_MS = 400;

/** Longest such question, in milliseconds: a status waits for a slot behind other statements. */
const FENCES_TIMEOUT_MS = 800;

/** Creates the look at fences. */
export function createFenceLook({directory, evidences, clock, elapsedClock, log}: FenceLookOptions): FenceLook {
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
		if (age < FENCES_AFTER_MS || clock.now() < (notBefore.get(record.group) ?? 0)) {
			return;
		}

		notBefore.set(record.group, clock.now() + FENCES_INTERVAL_MS);
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
