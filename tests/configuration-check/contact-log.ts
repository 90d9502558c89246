/** What kept a host, or the store, from being in touch with the others. */
export type Disturbance = {
	readonly from: number;
	/** Virtual time of its end; infinite while it lasts. */
	until: number;
};

/** Records which hosts were disturbed when, and which ones the store turned away. */
export type ContactLog = {
	/** Records that a host is frozen, ended or cut off. */
	disturb(host: string, now: number): Disturbance;
	/** Records that the store is down or slow for all. */
	disturbStore(now: number): Disturbance;
	/** Records that the store turns a host away and serves the others and the operator. */
	turnAway(host: string, now: number): Disturbance;
	/** Whether the host and the store were without disturbance from `from` to `to`, but that the store may have turned hosts away. */
	isInTouch(host: string, from: number, to: number): boolean;
	/** Whether one undisturbed host at least reached the store all the time from `from` to `to`. */
	isStoreReached(from: number, to: number): boolean;
};

/** Creates the log of a fleet in which nothing was disturbed yet. */
export function createContactLog(hosts: readonly string[]): ContactLog {
	const disturbances = new Map<string, Disturbance[]>(hosts.map(host => [host, []]));
	const refusals = new Map<string, Disturbance[]>(hosts.map(host => [host, []]));
	const ofStore: Disturbance[] = [];

	const begin = (list: Disturbance[], now: number) => {
		const disturbance = {from: now, until: Number.POSITIVE_INFINITY};
		list.push(disturbance);
		return disturbance;
	};

	const isFree = (list: readonly Disturbance[], from: number, to: number) => list.every(disturbance => disturbance.until < from || disturbance.from > to);
	const isInTouch = (host: string, from: number, to: number) => isFree(disturbances.get(host)!, from, to) && isFree(ofStore, from, to);

	return {
		disturb: (host, now) => begin(disturbances.get(host)!, now),
		disturbStore: now => begin(ofStore, now),
		turnAway: (host, now) => begin(refusals.get(host)!, now),
		isInTouch,
		isStoreReached: (from, to) => hosts.some(host => isInTouch(host, from, to) && isFree(refusals.get(host)!, from, to)),
	};
}
