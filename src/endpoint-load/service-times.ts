/** Measured times of statements by group and prepared statement, and how much each endpoint deviates from them. */
export type ServiceTimes = {
	/** Notes that an endpoint of the group answered a statement after `tookMs` milliseconds; returns that time relative to the group's usual time. */
	note(endpointId: string, statement: StatementKey, tookMs: number, now: number): number;
	/** Returns the usual time of the statement at the endpoints of its group, in milliseconds. */
	getUsualMs(statement: StatementKey): number;
	/** Returns the smoothed relative time of the endpoint; 1 where it is as fast as its group, and again some seconds after its last answer. */
	getFactor(endpointId: string, now: number): number;
	/** Drops the times of all other endpoints. */
	keepOnly(endpointIds: ReadonlySet<string>): void;
};

/** Identifies statements whose times are alike. */
export type StatementKey = {
	readonly group: string;
	readonly database: string;
	/** Key of the prepared shape; undefined for a statement that is not prepared. */
	readonly shape?: string;
};

type Factor = {readonly value: number; readonly at: number};

/** Assumed time of a statement before any was measured, in milliseconds. */
const INITIAL_SERVICE_MS = 15;

/** Weight of the newest time of a statement in the usual time of its group. */
const USUAL_WEIGHT = 0.1;

/** Weight of the newest time in the factor of an endpoint. */
const FACTOR_WEIGHT = 0.3;

/** A time counts as at most this many times the usual one: a single statement that waited for seconds must not close an endpoint for long. */
const MAX_RELATIVE_TIME = 10;

/**
 * Time constant with which the factor of an endpoint returns to 1, in milliseconds. Guards against an endpoint that was slow for a moment and is never read
 * again: without reads nothing would show that it has recovered. A host of a large fleet reads an endpoint
 * about once in two seconds, so a shorter time would forget each answer before the next.
 */
const FACTOR_DECAY_MS = 5000;

/** Maximum number of statements whose times are kept; more of them share the time of their database, so that memory stays bounded. */
const MAX_STATEMENTS = 500;

/** Creates a collection without measurements. */
export function createServiceTimes(): ServiceTimes {
	const usual = new Map<string, number>();
	const factors = new Map<string, Factor>();

	const getKey = ({group, database, shape}: StatementKey) => {
		const key = `${group} ${database} ${shape ?? ''}`;
		return usual.has(key) || usual.size < MAX_STATEMENTS ? key : `${group} ${database} `;
	};

	const getFactor = (endpointId: string, now: number) => {
		const factor = factors.get(endpointId);
		return factor ? 1 + ((factor.value - 1) * Math.exp((factor.at - now) / FACTOR_DECAY_MS)) : 1;
	};

	return {
		note(endpointId, statement, tookMs, now) {
			const key = getKey(statement);
			const usualMs = usual.get(key) ?? tookMs;
			const relative = usualMs > 0 ? tookMs / usualMs : 1;
			usual.set(key, usualMs + (USUAL_WEIGHT * (Math.min(tookMs, MAX_RELATIVE_TIME * usualMs) - usualMs)));
			const factor = getFactor(endpointId, now);
			factors.set(endpointId, {value: factor + (FACTOR_WEIGHT * (Math.min(relative, MAX_RELATIVE_TIME) - factor)), at: now});
			return relative;
		},
		getUsualMs: statement => usual.get(getKey(statement)) ?? INITIAL_SERVICE_MS,
		getFactor,
		keepOnly(endpointIds) {
			for (const endpointId of factors.keys()) {
				if (!endpointIds.has(endpointId)) {
					factors.delete(endpointId);
				}
			}
		},
	};
}
