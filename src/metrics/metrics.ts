import type {Outcome} from '../callers/caller-response.js';
import type {EndpointRole} from '../endpoints/endpoint.js';
import type {WorkClass} from '../groups/group-config.js';
import type {RefusalCode} from '../refusals/refusal.js';

/** The kinds of operations that callers request, as metrics and refusal records name them. */
export const CallerOperation = {
	Read: 'read',
	Write: 'write',
	Begin: 'begin',
	Commit: 'commit',
	Rollback: 'rollback',
	Outcome: 'outcome',
} as const;

/** One of the kinds in {@link CallerOperation}. */
export type CallerOperation = typeof CallerOperation[keyof typeof CallerOperation];

/** The result of a call to the platform. */
export const PlatformCallResult = {
	Ok: 'ok',
	Conflict: 'conflict',
	Silent: 'silent',
} as const;

/** One of the results in {@link PlatformCallResult}. */
export type PlatformCallResult = typeof PlatformCallResult[keyof typeof PlatformCallResult];

/** The measurement of one answered request of a caller. */
export type RequestMeasurement = {
	readonly kind: CallerOperation;
	/** Undefined if the request does not name a class. */
	readonly class?: WorkClass;
	readonly outcome: Outcome;
	readonly seconds: number;
};

/** The metrics of the daemon. No label contains a caller's value, so that the number of time series stays bounded. */
export type Metrics = {
	/** Records that a caller's request was answered. */
	observeRequest(measurement: RequestMeasurement): void;
	/** Counts a refusal that was sent to a caller. */
	countRefusal(code: RefusalCode): void;
	/** Records how many seconds a request waited for its slot at an endpoint. */
	observeQueueWait(workClass: WorkClass, seconds: number): void;
	/** Counts a read by the role of the endpoint that served it. */
	countRead(role: EndpointRole): void;
	/** Counts a request that the entry retried, by the refusal that caused the retry. */
	countRetry(code: RefusalCode): void;
	/** Counts a frame from a peer that matched no pending request. */
	countDroppedFrame(): void;
	/** Counts a completed call to the platform; a long poll of a watch counts as one call. */
	countPlatformCall(call: string, result: PlatformCallResult): void;
	/** Sets how many idle and busy connections this host has to an endpoint. */
	setPoolConnections(endpoint: string, idle: number, busy: number): void;
	/** Sets the highest revision of the platform's store in the configuration in force. */
	setConfigRevision(revision: number): void;
	/** Records that this host promoted another primary, with the seconds from the first suspicion to the first confirmed log position. */
	observeFailover(group: string, seconds: number): void;
	/** Returns all metrics in the text format of Prometheus. */
	render(): Promise<string>;
	/** The content type of what {@link Metrics.render} returns. */
	readonly contentType: string;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		metrics: Metrics;
	}
}
