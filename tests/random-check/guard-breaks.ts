import type {EndpointConnection, Endpoints} from '../../src/endpoints/endpoint.js';
import type {GroupControl} from '../../src/failover/group-control.js';
import type {GroupParts} from '../../src/owners/group-parts.js';
import type {Asker} from '../../src/routing/asked-request.js';
import type {RequestTries} from '../../src/routing/request-tries.js';
import type {Clock} from '../../src/time/clock.js';

/** What a broken part is made from. */
export type BreakTools = {
	readonly clock: Clock;
	/** The way to the servers, unbroken. */
	readonly endpoints: Endpoints;
};

/** Takes one guard out of a proxy by putting something else in the place of an injected part. */
export type GuardBreak = {
	readonly name: string;
	/** What is no longer done. */
	readonly without: string;
	breakEndpoints?(endpoints: Endpoints, clock: Clock): Endpoints;
	breakParts?(parts: GroupParts, tools: BreakTools): Partial<GroupParts>;
	breakAsker?(asker: Asker): Asker;
	breakTries?(tries: RequestTries): RequestTries;
	breakControl?(control: GroupControl): GroupControl;
};

export type {EndpointConnection};
