/** Round-trip times from this host to endpoints. */
export type RoundTrips = {
	/** Returns the round-trip time to hosts and endpoints of an availability zone at the steady time `now`, in milliseconds; undefined where none is known. */
	getMs(zone: string, now: number): number | undefined;
};

/** Decides which reads may go to another region, by the bandwidth that is left between the regions. */
export type RegionCrossings = {
	/** Returns the share, from 0 to 1, of the reads that another endpoint could serve which may go to the availability zone at the steady time `now`. */
	getShare(zone: string, now: number): number;
};

/** Assumed round-trip times before any was measured, in milliseconds: the latencies between zones are 0.5 to 1.4 ms each way, those within a zone a fifth of them. */
const SAME_ZONE_MS = 0.4;
const OTHER_ZONE_MS = 2;

/** Round-trip times that depend only on whether a zone is the host's own, in place of measured ones. */
export class AssumedRoundTrips implements RoundTrips {
	constructor(private readonly ownZone: string) {}

	getMs(zone: string): number {
		return zone === this.ownZone ? SAME_ZONE_MS : OTHER_ZONE_MS;
	}
}

/** Lets all reads go to any zone, as in a deployment of one region. */
export class UnlimitedCrossings implements RegionCrossings {
	getShare(): number {
		return 1;
	}
}
