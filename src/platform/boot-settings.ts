import * as z from 'zod';
import {isNetworkAddress, isPort, networkAddressSchema} from './network-address.js';
import {throwBootSettingsInvalid, throwBootSettingsUnreadable} from './boot-errors.js';

/** The settings that a proxy reads when it starts. */
export type BootSettings = {
	readonly hostName: string;
	readonly availabilityZone: string;
	/** `ip:port` on which callers connect. */
	readonly callerAddress: string;
	/** `ip:port` on which the balancer checks whether this host accepts callers. */
	readonly readinessAddress: string;
	/** `ip:port` on which other proxies connect. */
	readonly peerAddress: string;
	/** Peer addresses of some other proxies; the list may be out of date. */
	readonly seeds: readonly string[];
	/** `ip:port` of the platform's store. */
	readonly storeAddress: string;
	/** `ip:port` of the platform's service that promotes servers. */
	readonly ordersAddress: string;
	/** Time after which no host may accept a revoked key any more, in milliseconds; undefined if there is no such bound. */
	readonly revokeWithinMs?: number;
	/** Time for which work may begin under a configuration that the store has not confirmed again, in milliseconds; undefined if there is no such bound. */
	readonly maxRoutingAgeMs?: number;
	/** Time from the announcement of an endpoint that it is leaving until it gets no new work, in milliseconds; undefined if there is no such bound. */
	readonly maxLeavingMs?: number;
	/** Region of each availability zone. */
	readonly zoneRegions: Readonly<Record<string, string>>;
	/** Whether the platform expects callers to compete for endpoints. */
	readonly isContended: boolean;
	/** Capacity of this host, in cores. */
	readonly capacity: number;
	/** Time from the signal to stop until the process is killed, in milliseconds. */
	readonly graceMs: number;
};

/** The environment variable in which the platform passes the path of the settings file. */
export const BOOT_SETTINGS_VARIABLE = 'ALDERCROFT_BOOT';

const address = networkAddressSchema;

/** Maximum of a bound, in seconds: a day, which fits into a timer. */
const MAX_BOUND_S = 86_400;

/** Bound of the cores of a host, far above any. */
const MAX_CORES = 10_000;

/** The fields under the platform's names; unknown keys are ignored. */
const schema = z.object({
	/** The host's name. */
	nodeName: z.string().min(1),
	zone: z.string().min(1),
	ip: z.string().min(1),
	/** Where callers reach this host, not the balancer's own address. */
	'listen.front': address,
	'listen.readiness': address,
	/** No program outside the proxies connects to it, so the links between proxies use it. */
	'listen.control': address.optional(),
	/** The first and last port of a range that is free for links between proxies. */
	portRange: z.string().refine(text => text.split(',').length === 2 && text.split(',').every(port => isPort(port)), 'must be two ports'),
	seeds: z.string().default(''),
	'platform.address': address,
	/** The service that promotes servers, despite its general name. */
	'cloud.address': address,
	/** The parts of the platform's rules that are in force. */
	contracts: z.string().default(''),
	/** Share of a core that the host may use. */
	'limits.cpuShare': z.coerce.number().positive().max(MAX_CORES).default(1),
	/** Speed of the core as a multiple of a usual one, despite the name. */
	'limits.cores': z.coerce.number().positive().max(MAX_CORES).default(1),
	'bounds.graceS': z.coerce.number().positive().max(MAX_BOUND_S),
	/** Whether the bound on revocation also applies to hosts that are cut off from the store. */
	'bounds.revokeStrict': z.enum(['true', 'false'], 'must be true or false').default('false'),
	'bounds.revokeMs': z.coerce.number().positive().max(MAX_BOUND_S * 1000).optional(),
	'bounds.drainMs': z.coerce.number().positive().max(MAX_BOUND_S * 1000).optional(),
	/** Time in which an accepted configuration has to be in force. */
	'bounds.configApplyMs': z.coerce.number().positive().max(MAX_BOUND_S * 1000).optional(),
	/** Time by which that bound is longer while the store turns hosts away. It has nothing to do with clocks, despite its name. */
	'bounds.maxSkewMs': z.coerce.number().nonnegative().max(MAX_BOUND_S * 1000).default(0),
});

/** Parses the text of the settings file. Throws BootSettingsError, which names every invalid field. */
export function parseBootSettings(text: string): BootSettings {
	const lines = parseLines(text);
	const parsed = schema.safeParse(lines);
	if (!parsed.success) {
		return throwBootSettingsInvalid(parsed.error.issues.map(({path, message}) => `${String(path[0] ?? 'settings')} is wrong: ${message}`));
	}

	const fields = parsed.data;
	const [firstPort] = fields.portRange.split(',');
	return {
		hostName: fields.nodeName,
		availabilityZone: fields.zone,
		callerAddress: fields['listen.front'],
		readinessAddress: fields['listen.readiness'],
		peerAddress: fields['listen.control'] ?? `${fields.ip}:${firstPort}`,
		// A seed that is no address, like one that has gone, is of no use; the others are.
		seeds: fields.seeds.split(',').filter(seed => isNetworkAddress(seed)),
		storeAddress: fields['platform.address'],
		ordersAddress: fields['cloud.address'],
		revokeWithinMs: fields['bounds.revokeStrict'] === 'true' ? fields['bounds.revokeMs'] : undefined,
		maxRoutingAgeMs: getMaxRoutingAge(fields['bounds.configApplyMs'], fields['bounds.maxSkewMs']),
		maxLeavingMs: fields['bounds.drainMs'],
		zoneRegions: getZoneRegions(lines),
		isContended: fields.contracts.split(',').includes(CONTENTION_CONTRACT),
		capacity: fields['limits.cpuShare'] * fields['limits.cores'],
		graceMs: fields['bounds.graceS'] * 1000,
	};
}

/** Returns the time after which a configuration that the store has not confirmed again may not be relied on, whatever the store does. */
function getMaxRoutingAge(applyMs: number | undefined, storeTroubleMs: number): number | undefined {
	return applyMs === undefined ? undefined : applyMs + storeTroubleMs;
}

/** The contract under which callers compete for endpoints. */
const CONTENTION_CONTRACT = 'pressure';

/** Prefix of the fields that give the region of a zone. */
const ZONE_PREFIX = 'zones.';

function getZoneRegions(fields: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
	return Object.fromEntries(Object.entries(fields).filter(([name]) => name.startsWith(ZONE_PREFIX)).map(([name, region]) => [name.slice(ZONE_PREFIX.length), region]));
}

function parseLines(text: string): Record<string, string> {
	const fields: Record<string, string> = {};
	for (const line of text.split('\n')) {
		const trimmed = line.trim();
		if (trimmed === '') {
			continue;
		}

		const equals = trimmed.indexOf('=');
		if (equals < 1) {
			throwBootSettingsUnreadable(`a line has no name and value: ${trimmed.slice(0, 60)}`);
		}

		fields[trimmed.slice(0, equals)] = trimmed.slice(equals + 1);
	}

	return fields;
}
