import type {Admission} from '../admission/admission.js';
import type {VersionedGroup} from '../configuration/configuration.js';
import type {ConnectionPool} from '../endpoints/connection-pool.js';
import type {EndpointConfig} from '../groups/group-config.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import type {Clock} from '../time/clock.js';
import type {Barrier} from './barrier.js';
import type {Confirmer} from './confirmer.js';
import type {RunningWork} from './running-work.js';
import type {SilenceWatch} from './silence-watch.js';
import type {WriteGate} from './write-gate.js';

/** What an owner uses of one endpoint. */
export type EndpointParts = {
	readonly name: string;
	readonly pool: ConnectionPool;
	readonly admission: Admission;
};

/** The primary of a group and its term, as its owner knows them. */
export type Primary = {
	readonly endpoint: EndpointConfig;
	readonly parts: EndpointParts;
	readonly term: number;
};

/** What the read, write and transaction paths of one group's owner share. */
export type GroupParts = {
	readonly clock: Clock;
	readonly knowledge: GroupKnowledge;
	readonly confirmer: Confirmer;
	readonly barrier: Barrier;
	/** Closed during a planned change of primary. */
	readonly writeGate: WriteGate;
	readonly running: RunningWork;
	/** Has failover check a silent endpoint before its next poll. */
	readonly silence: SilenceWatch;
	getGroup(): VersionedGroup;
	getParts(endpoint: string): EndpointParts | undefined;
	/** Returns whether the endpoint may be given new work; a leaving one that is still primary may for a short grace period. */
	mayTakeWork(endpoint: EndpointConfig, now: number): boolean;
	/** Records that an exchange with an endpoint failed, and reports the endpoint to failover. */
	suspect(endpoint: string, now: number): void;
	/** Resolves when the group's primary may have changed, at the latest at `deadlineAt`. */
	waitForChange(deadlineAt: number): Promise<void>;
	/** Calls the listener when the primary or the highest term may have changed, until the returned function is called. */
	onChange(listener: () => void): () => void;
};
