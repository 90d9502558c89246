import type {Outcome} from '../callers/caller-answer.js';
import type {EndpointRole} from '../endpoints/endpoint.js';
import type {WorkClass} from '../groups/group-config.js';
import type {RefusalCode} from '../refusals/refusal.js';

/** What a caller may ask for, as metrics and refusal records name it. */
export const AskedKind = {
	Read: 'read',
	Write: 'write',
	Begin: 'begin',
	Commit: 'commit',
	Rollback: 'rollback',
	Outcome: 'outcome',
} as const;

/** One of the kinds in {@link AskedKind}. */
export type AskedKind = typeof AskedKind[keyof typeof AskedKind];

/** How a call to the platform ended. */
export const PlatformCallResult = {
	Ok: 'ok',
	Conflict: 'conflict',
	Silent: 'silent',
} as const;

/** One of the results in {@link PlatformCallResult}. */
export type PlatformCallResult = typeof PlatformCallResult[keyof typeof PlatformCallResult];

/** A caller's request that has its answer. */
export type RequestFigures = {
	readonly kind: AskedKind;
	/** Undefined where the request does not name one. */
	readonly class?: WorkClass;
	readonly outcome: Outcome;
	readonly seconds: number;
};

/** Counts what the daemon does. No label holds a caller's value, so that their number stays bounded. */
export type Metrics = {
	/** A caller's request has its answer. */
	observeRequest(figures: RequestFigures): void;
	/** A caller was told a refusal. */
	countRefusal(code: RefusalCode): void;
	/** A request got its slot at an endpoint after waiting so many seconds. */
	observeQueueWait(workClass: WorkClass, seconds: number): void;
	/** A read was served by an endpoint in that role. */
	countRead(role: EndpointRole): void;
	/** The entry tried a request again, because of that refusal. */
	countRetry(code: RefusalCode): void;
	/** A frame from a peer answered nothing that was awaited. */
	countDroppedFrame(): void;
	/** A call to the platform ended; a waiting watch is one. */
	countPlatformCall(call: string, result: PlatformCallResult): void;
	/** Connections that this host holds to an endpoint now. */
	setPoolConnections(endpoint: string, idle: number, busy: number): void;
	/** The highest revision of the platform's store that the configuration in force holds. */
	setConfigRevision(revision: number): void;
	/** This host raised another primary; seconds from the first suspicion to the first position confirmed. */
	observeFailover(group: string, seconds: number): void;
	/** Every figure in the text format of Prometheus. */
	render(): Promise<string>;
	/** Content type of {@link Metrics.render}. */
	readonly contentType: string;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		metrics: Metrics;
	}
}
