import type {Configuration} from '../configuration/configuration.js';
import type {EndpointConfig} from '../groups/group-config.js';
import type {GroupOwner} from '../owners/group-owner.js';
import type {EndpointRow, RunningWork} from './fleet-view.js';

/** Maximum number of running requests and transactions listed for an endpoint. */
const MAX_WORK_ROWS = 20;

/** The host and time of a view. */
export type ViewContext = {
	readonly host: string;
	/** By the monotonic clock, in milliseconds. */
	readonly now: number;
	/** By the wall clock, in milliseconds since the epoch. */
	readonly wallMs: number;
};

/** Describes an endpoint that no owner reported. */
export function describeUnseenEndpoint(group: string, endpoint: EndpointConfig): EndpointRow {
	return {
		group,
		name: endpoint.name,
		address: endpoint.address,
		availabilityZone: endpoint.availabilityZone,
		order: endpoint.order,
		orderedAt: endpoint.orderedAt,
		seen: false,
		reachable: false,
		leaving: false,
		running: 0,
		work: [],
		queued: 0,
	};
}

/** Describes an endpoint as its owner on this host sees it. */
export function describeOwnedEndpoint(owner: GroupOwner, endpoint: EndpointConfig, context: ViewContext): EndpointRow {
	const {knowledge, running, getParts} = owner.parts;
	const group = owner.parts.getGroup().cfg.name;
	const known = knowledge.get(endpoint.name);
	const load = getParts(endpoint.name)?.admission.getLoad();
	const work = running.getAt(endpoint.name);
	const toWall = (at: number) => Math.round(context.wallMs - (context.now - at));
	const ageMs = knowledge.getAgeMs(endpoint.name, context.now);
	return {
		...describeUnseenEndpoint(group, endpoint),
		seen: true,
		reachable: known?.status !== undefined && known.failures === 0,
		answeredAt: known?.status ? toWall(known.seenAt) : undefined,
		leaving: owner.isLeaving(endpoint),
		role: known?.status?.role,
		term: known?.status?.term,
		log: known?.status?.log,
		ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
		running: work.length,
		work: work.slice(0, MAX_WORK_ROWS).map(({what, requestId, since}): RunningWork => ({
			what, requestId, host: context.host, since: toWall(since),
		})),
		queued: load ? load.queued.deadline + load.queued.interactive + load.queued.background : 0,
	};
}

/** Returns the requested group, or all configured groups where none is named. */
export function getRequestedGroups(configuration: Configuration, group: string | undefined): readonly string[] {
	return configuration.getGroups()
		.filter(({cfg, deleted}) => !deleted && (group === undefined || cfg.name === group))
		.map(({cfg}) => cfg.name);
}

/** Merges the rows of two owners for one endpoint: the state of the latest response, with the work of both. */
export function mergeEndpointRows(left: EndpointRow, right: EndpointRow): EndpointRow {
	const newest = (right.answeredAt ?? 0) > (left.answeredAt ?? 0) ? right : left;
	const work = [...left.work, ...right.work].sort((one, other) => one.since - other.since);
	return {
		...newest,
		seen: left.seen || right.seen,
		reachable: left.reachable || right.reachable,
		leaving: left.leaving || right.leaving,
		running: left.running + right.running,
		queued: left.queued + right.queued,
		work: work.slice(0, MAX_WORK_ROWS),
	};
}
