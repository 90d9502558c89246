import type {HostRecord} from '../leadership/leadership-record.js';

/** The availability zones of the registered hosts. */
export type HostZones = {
	/** Returns the zone of the host at `ip:port`; undefined if no host is registered there. */
	getZone(address: string): string | undefined;
	/** Returns the addresses of all hosts that are not marked as unresponsive in zones for which `isWanted` is true. */
	getAddresses(isWanted: (zone: string) => boolean): readonly string[];
};

/** Creates the index of a list that is replaced as a whole whenever it changes. */
export function createHostZones(getHosts: () => readonly HostRecord[]): HostZones {
	let indexed: readonly HostRecord[] | undefined;
	let zones: ReadonlyMap<string, string> = new Map();

	return {
		getZone(address) {
			const hosts = getHosts();
			if (hosts !== indexed) {
				indexed = hosts;
				zones = new Map(hosts.map(({peerAddress, availabilityZone}) => [peerAddress, availabilityZone]));
			}

			return zones.get(address);
		},
		getAddresses: isWanted => getHosts().filter(({gone, availabilityZone}) => !gone && isWanted(availabilityZone)).map(({peerAddress}) => peerAddress),
	};
}
