import type {AcquireRequest, EndpointPool} from '../links/endpoint-pool.js';
import type {GatewayParts} from './gateway-parts.js';
import type {LinkRequest} from './acquire-link.js';

/** What a pool needs to know to schedule a request. */
type Schedule = Pick<AcquireRequest, 'startBy' | 'weight' | 'statement' | 'isWanted'>;

/** Maximum share of the latency target that an operation is expected to take: where it usually takes longer, it still has some time to wait. */
const MAX_SERVICE_SHARE = 0.9;

/**
 * Returns what the pool of an endpoint needs to schedule the request; nothing where scheduling is not in force.
 *
 * It responds to several routes and workspaces that ask for more than an endpoint can run. The operation has to start within its route's latency target, less the time that it usually takes:
 * a single statement's own, and for a transaction that from its begin to its end.
 */
export function scheduleRequest(parts: GatewayParts, req: LinkRequest, pool: EndpointPool, now: number): Schedule {
	if (!parts.features.scheduling) {
		return {};
	}

	const {route, workspace} = req;
	const arrivedAt = now - (parts.elapsedClock.elapsed() - req.arrivedAt);
	const serviceMs = req.single ? getStatementMs(parts, req, pool, now) : parts.operationTimes.getClassMeanMs(route.name);
	const startWithinMs = route.targetLatencyMs - Math.min(serviceMs, route.targetLatencyMs * MAX_SERVICE_SHARE);
	return {
		startBy: route.targetLatencyMs === 0 ? undefined : arrivedAt + startWithinMs,
		weight: workspace && getWorkspaceWeight(workspace.priority),
		statement: req.statement,
		isWanted: () => req.isWanted(),
	};
}

/** Returns the weight of a workspace: one of priority 1 may use half as much slot time as one of priority 0 while both wait. */
export function getWorkspaceWeight(priority: number): number {
	return 1 / (1 + Math.max(0, priority));
}

/** Returns the usual time of the statement; from the pool's load where nothing is known by statement. */
function getStatementMs({estimates}: GatewayParts, {route, statement}: LinkRequest, pool: EndpointPool, now: number) {
	return estimates?.getUsualMs({group: route.group, database: route.database, shape: statement}) ?? pool.getLoad(now).serviceMs;
}
