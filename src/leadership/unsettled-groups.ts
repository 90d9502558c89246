import type {Versioned} from '../mirror/mirror-state.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {DUTY_LEASE_MS, type DutyLease} from './duty-lease.js';
import {LeadPhase, type LeadershipRecord} from './leadership-record.js';
import type {RecordReaffirmation} from './reaffirm-record.js';
import type {Replacements} from './replacements.js';

/** Groups whose record does not say who leads: it is being changed, or is of before the store came back from a copy. */
export type UnsettledGroups = {
	/** Goes on with what another host has left unfinished, where it is time. */
	look(record: Versioned<LeadershipRecord>): Promise<void>;
};

/** What this needs. */
export type UnsettledGroupsOptions = {
	readonly duty: DutyLease;
	readonly reaffirmation: RecordReaffirmation;
	readonly replacements: Replacements;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly hostName: string;
	/** Hosts wait a random part of this before they act on what several of them see, in milliseconds. */
	readonly spreadMs: number;
	/** After a replacement that came to nothing its host tries again after so long, in milliseconds. */
	readonly pauseMs: number;
};

/** A change that makes no progress for so long has lost the host that made it, in milliseconds. */
const STALLED_AFTER_MS = DUTY_LEASE_MS + 400;

/** A record that no host has written again for so long since the store came back has nobody with evidence of its primary, in milliseconds: all tries lie within it. */
const UNAFFIRMED_AFTER_MS = 1500;

/** Creates the care of a host that has seen no group yet. */
export function createUnsettledGroups(options: UnsettledGroupsOptions): UnsettledGroups {
	const {duty, reaffirmation, replacements, clock, elapsedClock, random} = options;
	const seen = new Map<string, {readonly version: number; readonly since: number}>();

	/** For how long this host has seen the record as it is, in milliseconds. */
	const getSeenMs = ({group, version}: Versioned<LeadershipRecord>) => {
		const now = elapsedClock.elapsed();
		const known = seen.get(group);
		const current = known?.version === version ? known : {version, since: now};
		seen.set(group, current);
		return now - current.since;
	};

	const begin = async (group: string, reason: string) => {
		await clock.sleep(random.fraction() * options.spreadMs);
		await replacements.begin({group, reason, planned: false});
	};

	/** A change whose host died half way is gone on with by another. */
	const lookAtChanging = async (record: Versioned<LeadershipRecord>) => {
		const isOwn = record.changedBy === options.hostName;
		const waitMs = isOwn ? options.pauseMs : STALLED_AFTER_MS;
		if (getSeenMs(record) > waitMs && duty.getOtherHolder() === undefined) {
			await begin(record.group, 'an earlier change was not finished');
		}
	};

	/** Who leads is open where the store came back from a copy and nobody has evidence any more: then it is settled as in a change that was not finished. */
	const lookAtUnaffirmed = async (record: Versioned<LeadershipRecord>) => {
		const seenMs = getSeenMs(record);
		if (await reaffirmation.reaffirm(record) || seenMs <= UNAFFIRMED_AFTER_MS || duty.getOtherHolder() !== undefined) {
			return;
		}

		await begin(record.group, 'the store came back from a copy and nobody has evidence of the primary');
	};

	return {
		look: async record => record.phase === LeadPhase.Changing ? lookAtChanging(record) : lookAtUnaffirmed(record),
	};
}
