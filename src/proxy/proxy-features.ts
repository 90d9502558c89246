import type {BootSettings} from '../platform/boot-settings.js';
import {FeatureMode, type ProxyCommandLine} from './read-proxy-command-line.js';

/** Features of a proxy that only some deployments ask for, with their settings. Where one is absent, the proxy works as without it. */
export type ProxyFeatures = {
	/** Set where callers compete for endpoints: statements are ordered, and refused early, before they take a slot of an endpoint. */
	readonly scheduling?: SchedulingSettings;
	/** Region of each availability zone; set where the zones lie in more than one region. */
	readonly zoneRegions?: ReadonlyMap<string, string>;
};

/** Settings of the scheduling of statements. */
export type SchedulingSettings = {
	/** Capacity of this host, in cores. */
	readonly capacity: number;
	/** Number of hosts that keep connections to one endpoint. */
	readonly poolHosts: number;
	/** Statements that may be in flight at an endpoint over all hosts, as a multiple of its slots. */
	readonly roomFactor: number;
	/** Minimum share of an endpoint's slot time for each priority level that has waiting requests, from 0 to 1. */
	readonly leastShare: number;
};

/** Returns the features that the settings ask for, as far as the command line does not decide otherwise. */
export function getProxyFeatures({zoneRegions, isContended, capacity}: BootSettings, commandLine: ProxyCommandLine): ProxyFeatures {
	const isMultiRegion = new Set(Object.values(zoneRegions)).size > 1;
	const {poolHosts, roomFactor, leastShare} = commandLine;
	return {
		scheduling: isInForce(commandLine.scheduling, isContended || isMultiRegion)
			? {
				capacity, poolHosts, roomFactor, leastShare,
			}
			: undefined,
		zoneRegions: isInForce(commandLine.regions, isMultiRegion) ? new Map(Object.entries(zoneRegions)) : undefined,
	};
}

function isInForce(mode: FeatureMode, isAskedFor: boolean) {
	return mode === FeatureMode.Auto ? isAskedFor : mode === FeatureMode.On;
}
