/** Which region each availability zone lies in, seen from one host. */
export type Topology = {
	readonly ownZone: string;
	readonly ownRegion: string;
	/** Returns the region of a zone. A zone that the settings do not name counts as a region of its own. */
	getRegion(zone: string): string;
	/** Returns whether two zones lie in the same region. */
	isSameRegion(left: string, right: string): boolean;
	/** Returns whether a zone lies in this host's region. */
	isNear(zone: string): boolean;
};

/** Creates the topology of a host in `ownZone` from the region of each zone. */
export function createTopology(zoneRegions: ReadonlyMap<string, string>, ownZone: string): Topology {
	const getRegion = (zone: string) => zoneRegions.get(zone) ?? zone;
	const ownRegion = getRegion(ownZone);

	return {
		ownZone,
		ownRegion,
		getRegion,
		isSameRegion: (left, right) => getRegion(left) === getRegion(right),
		isNear: zone => getRegion(zone) === ownRegion,
	};
}
