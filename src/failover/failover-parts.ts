import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {GroupConfig} from '../groups/group-config.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {FailoverSettings} from './failover-settings.js';
import type {SetFailoverState} from './failover-state.js';
import type {GroupControl} from './group-control.js';
import type {OtherOwners} from './other-owners.js';
import type {PollTimes} from './poll-times.js';
import type {FailoverDurations, LossKind} from './promote-group.js';
import type {PromotedPrimary} from './fence-and-promote.js';
import type {TermClaim} from './term-claim.js';

/** Dependencies that the tasks of one group's failover share. */
export type FailoverParts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly settings: FailoverSettings;
	readonly control: GroupControl;
	readonly knowledge: GroupKnowledge;
	readonly claim: TermClaim;
	readonly others: OtherOwners;
	readonly group: string;
	/** Returns the configuration in force. */
	getCfg(): GroupConfig;
	/** Returns how old the last status of a server may be now. */
	getPollTimes(): PollTimes;
	/** Returns whether the host of the server at that address is leaving. */
	isHostLeaving(address: string): boolean;
	readonly setState: SetFailoverState;
	/** Logs and reports a new primary and notifies the other owners of it; resolves once these calls ended. */
	announce(promoted: PromotedPrimary, cause: PromotionCause, durations: FailoverDurations): Promise<void>;
	/** Aborts when the failover stops. */
	readonly stopped: AbortSignal;
};

/** Why a primary was promoted. */
export type PromotionCause = LossKind | 'planned';

/** A change of primary, for audit and metrics. */
export type Promotion = {
	readonly group: string;
	readonly term: number;
	/** Name of the new primary. */
	readonly endpoint: string;
	readonly status: EndpointStatus;
	readonly cause: PromotionCause;
	readonly stepDurations: FailoverDurations;
};
