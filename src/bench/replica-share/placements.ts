import {holdsLogPosition, type LogPosition} from '../../terms/log-position.js';
import type {GroupKnowledge} from '../../groups/group-knowledge.js';
import type {GroupParts} from '../../owners/group-parts.js';
import {getPrimaryCandidate, getReplicaCandidates, type ReadCandidate} from '../../owners/read-candidates.js';
import type {
	PlacementGroup, ReadChoice, ReadNeed, ReadPlacement,
} from '../../owners/read-placement.js';
import type {Random} from '../../random/random.js';
import type {ShareSystem} from './share-system.js';
import {getTrueAgeMs} from './true-age.js';

/** Sends every read to the primary. */
export class PrimaryOnlyPlacement implements ReadPlacement {
	choose(group: PlacementGroup, need: ReadNeed): readonly ReadChoice[] {
		return toChoices(getPrimaryCandidate(group, need));
	}
}

/** Delays every read for a fixed time, then tries a random replica, then the primary. */
export class FixedWaitPlacement implements ReadPlacement {
	constructor(private readonly random: Random, private readonly waitMs: number) {}

	choose(group: PlacementGroup, need: ReadNeed): readonly ReadChoice[] {
		const replicas = getReplicaCandidates(group, need);
		const replica = replicas[Math.floor(this.random.fraction() * replicas.length)];
		const choices = replica ? [{endpoint: replica.endpoint, waitMs: this.waitMs}] : [];
		return [...choices, ...toChoices(getPrimaryCandidate(group, need))];
	}
}

/** Knows the current log of every server, and never delays a read. */
export class OraclePlacement implements ReadPlacement {
	constructor(private readonly system: ShareSystem, private readonly random: Random) {}

	choose(group: PlacementGroup, need: ReadNeed): readonly ReadChoice[] {
		const replicas = getReplicaCandidates(group, need)
			.filter(({endpoint}) => this.#meetsNeed(endpoint.name, need))
			.sort((left, right) => left.queueMs - right.queueMs || this.random.fraction() - 0.5);
		return [...replicas.flatMap(replica => toChoices(replica)), ...toChoices(getPrimaryCandidate(group, need))];
	}

	#meetsNeed(endpoint: string, need: ReadNeed): boolean {
		const {end} = this.system.getServerOrThrow(endpoint).member.log;
		return holdsLogPosition(end, need.floor) && getTrueAgeMs(this.system, end, need.now) <= need.maxAgeMs;
	}
}

/** Returns an owner's parts with the true age of every log in place of the owner's estimate. */
export function withTrueAges(parts: GroupParts, system: ShareSystem): GroupParts {
	const {knowledge} = parts;
	const getLogAgeMs = (log: LogPosition, now: number) => getTrueAgeMs(system, log, now);
	const trueKnowledge: GroupKnowledge = {
		...knowledge,
		get highestTerm() {
			return knowledge.highestTerm;
		},
		getLogAgeMs,
		getAgeMs: (endpoint, now) => getLogAgeMs(system.getServerOrThrow(endpoint).member.log.end, now),
	};
	return {...parts, knowledge: trueKnowledge};
}

function toChoices(candidate: ReadCandidate | undefined): readonly ReadChoice[] {
	return candidate ? [{endpoint: candidate.endpoint, waitMs: 0}] : [];
}
