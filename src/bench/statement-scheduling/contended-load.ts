/** A route whose callers compete for an endpoint. Times in milliseconds. */
export type ContendedRoute = {
	readonly name: string;
	readonly level: number;
	/** Operations per second at one primary, at load 1. */
	readonly perSecond: number;
	readonly workMs: number;
	readonly targetMs: number;
	readonly queueMs: number;
	readonly deadlineMs: number;
	readonly transactionShare: number;
	readonly writeShare: number;
	/** Value of an operation that is answered within the target, and of one that is answered later. */
	readonly value: number;
	readonly lateValue: number;
};

/** The routes of deployment 1 at one of its six primaries, while replicas lag by seconds and serve no reads. */
export const CONTENDED_ROUTES: readonly ContendedRoute[] = [
	{
		name: 'booking', level: 0, perSecond: 101 / 6, workMs: 6, targetMs: 202, queueMs: 400, deadlineMs: 1516, transactionShare: 0.4, writeShare: 0.2, value: 3.5, lateValue: 0.14,
	},
	{
		name: 'rate push', level: 1, perSecond: 475 / 6, workMs: 18, targetMs: 402, queueMs: 400, deadlineMs: 1508, transactionShare: 0.12, writeShare: 0.12, value: 1.9, lateValue: 0.093,
	},
	{
		name: 'search', level: 2, perSecond: 177 / 6, workMs: 30, targetMs: 1002, queueMs: 1000, deadlineMs: 5011, transactionShare: 0.1, writeShare: 0, value: 0.47, lateValue: 0.07,
	},
];

/** Load over time, as factors at a time in milliseconds from the start. */
export type LoadShape = {
	getRouteFactor(route: ContendedRoute, atMs: number): number;
	/** Factor of the workspaces with these indexes. */
	getWorkspaceFactor(workspace: number, atMs: number): number;
};

/** Workspaces of the deployment; loads follow a Zipf distribution. */
export const WORKSPACE_COUNT = 83;

/** The two workspaces whose load surges: of medium size, so that one alone does not fill the endpoint. */
const SURGING = new Set([3, 7]);

/** Times of the surges, in milliseconds from the start. */
export const ROUTE_BURST = {fromMs: 2500, untilMs: 7900};
export const WORKSPACE_SURGE = {fromMs: 6000, untilMs: 11_400};

const isWithin = ({fromMs, untilMs}: typeof ROUTE_BURST, atMs: number) => atMs >= fromMs && atMs < untilMs;

/** Returns the load of the heaviest day, at a multiple of its size; `burst` and `surge` say which of its surges there are. */
export function createHeaviestDay(load: number, {burst, surge}: {readonly burst: boolean; readonly surge: boolean}): LoadShape {
	return {
		getRouteFactor: ({level}, atMs) => load * (burst && level === 2 && isWithin(ROUTE_BURST, atMs) ? 2.1 : 1),
		getWorkspaceFactor: (workspace, atMs) => surge && SURGING.has(workspace) && isWithin(WORKSPACE_SURGE, atMs) ? 5 : 1,
	};
}
