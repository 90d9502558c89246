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

/** One endpoint as an owner uses it. */
export type EndpointParts = {
	readonly name: string;
	readonly pool: ConnectionPool;
	readonly admission: Admission;
};

/** The primary of a group as its owner knows it. */
export type Primary = {
	readonly endpoint: EndpointConfig;
	readonly parts: EndpointParts;
	readonly term: number;
};

/** What an owner of one group works with; shared by its read, write, transaction and failover paths. */
export type GroupParts = {
	readonly clock: Clock;
	readonly knowledge: GroupKnowledge;
	readonly confirmer: Confirmer;
	readonly barrier: Barrier;
	/** Closed while a planned change of primary is under way. */
	readonly writeGate: WriteGate;
	readonly running: RunningWork;
	/** Has a silent endpoint looked at before its next poll. */
	readonly silence: SilenceWatch;
	getGroup(): VersionedGroup;
	getParts(endpoint: string): EndpointParts | undefined;
	/** Tells whether the endpoint may be given new work; a leaving one that is still primary may for a short grace. */
	mayTakeWork(endpoint: EndpointConfig, now: number): boolean;
	/** Notes that traffic found an endpoint silent. */
	suspect(endpoint: string, now: number): void;
	/** Resolves when the group's primary may have changed, or at `deadlineAt`. */
	waitForChange(deadlineAt: number): Promise<void>;
	/** Calls back when the primary or the highest term may have changed, until the returned call ends it. */
	onChange(listener: () => void): () => void;
};
