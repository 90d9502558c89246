/**
 * Divides a concurrency budget among hosts by their demand: each gets at least 1, and the rest in proportion to the demand (highest averages), as far as it is not met. What is left
 * once every demand is met goes to the smallest shares, so that each host has places for its next statements. The shares add up to `total`, or to the number of hosts where that is higher.
 */
export function allocateShares(total: number, demands: readonly number[]): readonly number[] {
	const shares = demands.map(() => 1);
	for (let left = total - demands.length; left > 0; left--) {
		shares[getNext(demands, shares)]!++;
	}

	return shares;
}

/** Returns the index of the host that gets the next place. */
function getNext(demands: readonly number[], shares: readonly number[]): number {
	let next = 0;
	for (let i = 1; i < shares.length; i++) {
		if (isBefore(demands[i]!, shares[i]!, demands[next]!, shares[next]!)) {
			next = i;
		}
	}

	return next;
}

function isBefore(demand: number, share: number, otherDemand: number, otherShare: number): boolean {
	const isUnmet = demand > share;
	const isOtherUnmet = otherDemand > otherShare;
	if (isUnmet !== isOtherUnmet) {
		return isUnmet;
	}

	// The quotients demand / share are compared without a division.
	return isUnmet ? demand * otherShare > otherDemand * share : share < otherShare;
}
