/** The request rates of the workspaces of one pool, and for how long their requests hold a connection. */
export type WorkspaceDemand = {
	/** Notes a request of the workspace at the steady time `now`. */
	noteRequested(workspace: string | undefined, now: number): void;
	/** Notes that a single statement, or a transaction, of the workspace held a connection for `heldMs` milliseconds. */
	noteHeld(workspace: string | undefined, single: boolean, heldMs: number): void;
	/** Returns the workspace's requests per second. */
	getRate(workspace: string | undefined, now: number): number;
	/** Returns the smoothed time for which a request of the workspace holds a connection, in milliseconds. */
	getHeldMs(workspace: string | undefined, single: boolean): number;
	/**
	 * Returns how often per second the last of `count` connections of the workspace is used, where any of them serves a request that finds it free. For one connection that is the
	 * workspace's rate; the last of several is used only by requests that find the others in use.
	 */
	getUseRate(workspace: string | undefined, count: number, now: number): number;
	/** Drops workspaces that have sent no request for long. */
	dropUnused(now: number): void;
};

/** Default time constant of the decay of the rates, in milliseconds. With 30 s no fewer connections were opened, and a surge of some seconds would have its effect for longer. */
const TIME_CONSTANT_MS = 10_000;

/** Fraction by which a new held time changes the smoothed one. */
const HELD_SMOOTHING = 0.1;

/** The same for the mean over statements and transactions, whose times differ more. */
const MEAN_SMOOTHING = 0.03;

/** Held times before the first one is measured, in milliseconds: about those of a statement and of a short transaction. */
const INITIAL_HELD_MS = 20;
const INITIAL_TRANSACTION_HELD_MS = 200;

/** Decayed count of requests below which a workspace is dropped: about seven time constants after its last request. */
const DROPPED_BELOW = 0.001;

type Demand = {weight: number; at: number; heldMs: number; meanMs: number};

/** Creates the demand of a pool that has had no request; `timeConstantMs` is that of the decay of the rates. */
export function createWorkspaceDemand(timeConstantMs = TIME_CONSTANT_MS): WorkspaceDemand {
	const demands = new Map<string | undefined, Demand>();
	/** Over all workspaces: few of them have enough transactions for a time of their own. */
	let transactionHeldMs = INITIAL_TRANSACTION_HELD_MS;
	let heldMs = INITIAL_HELD_MS;
	/** Over statements and transactions. */
	let meanMs = INITIAL_HELD_MS;

	const getWeight = ({weight, at}: Demand, now: number) => weight * Math.exp((at - now) / timeConstantMs);

	const getRate = (workspace: string | undefined, now: number) => {
		const demand = demands.get(workspace);
		return demand ? getWeight(demand, now) / timeConstantMs * 1000 : 0;
	};

	return {
		noteRequested(workspace, now) {
			const demand = demands.get(workspace);
			if (demand) {
				demand.weight = getWeight(demand, now) + 1;
				demand.at = now;
			} else {
				demands.set(workspace, {
					weight: 1, at: now, heldMs, meanMs,
				});
			}
		},
		noteHeld(workspace, single, ms) {
			const demand = demands.get(workspace);
			meanMs += MEAN_SMOOTHING * (ms - meanMs);
			if (demand) {
				demand.meanMs += MEAN_SMOOTHING * (ms - demand.meanMs);
			}

			if (!single) {
				transactionHeldMs += HELD_SMOOTHING * (ms - transactionHeldMs);
				return;
			}

			heldMs += HELD_SMOOTHING * (ms - heldMs);
			if (demand) {
				demand.heldMs += HELD_SMOOTHING * (ms - demand.heldMs);
			}
		},
		getRate,
		getHeldMs: (workspace, single) => single ? demands.get(workspace)?.heldMs ?? heldMs : transactionHeldMs,
		getUseRate(workspace, count, now) {
			const rate = getRate(workspace, now);
			const inUse = rate * (demands.get(workspace)?.meanMs ?? meanMs) / 1000;
			return rate * getPoissonTail(inUse, count - 1);
		},
		dropUnused(now) {
			for (const [workspace, demand] of demands) {
				if (getWeight(demand, now) < DROPPED_BELOW) {
					demands.delete(workspace);
				}
			}
		},
	};
}

/** Returns the probability that a Poisson variable of this mean is at least `least`. */
function getPoissonTail(mean: number, least: number): number {
	if (least <= 0) {
		return 1;
	}

	let term = Math.exp(-mean);
	let below = term;
	for (let i = 1; i < least; i++) {
		term *= mean / i;
		below += term;
	}

	return Math.max(0, 1 - below);
}
