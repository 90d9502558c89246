import * as z from 'zod';
import {throwSettingsWrong, throwSettingsUnreadable} from './boot-errors.js';

/** What a proxy learns of itself and its surroundings when it starts. */
export type BootSettings = {
	readonly hostName: string;
	readonly availabilityZone: string;
	/** `ip:port` on which callers connect. */
	readonly callerAddress: string;
	/** `ip:port` on which the balancer asks whether this host takes callers. */
	readonly readinessAddress: string;
	/** `ip:port` on which other proxies connect. */
	readonly peerAddress: string;
	/** Addresses of some other proxies; may be out of date. */
	readonly seeds: readonly string[];
	/** `ip:port` of the platform's store. */
	readonly storeAddress: string;
	/** `ip:port` where the platform takes promotions. */
	readonly ordersAddress: string;
	/** Time after which a revoked key must not be honoured by any host, in milliseconds; undefined where nothing bounds it. */
	readonly revokeWithinMs?: number;
	/** Time from the order to stop to the end by force, in milliseconds. */
	readonly graceMs: number;
};

/** The platform names the settings file in this variable. */
export const SETTINGS_VARIABLE = 'ALDERCROFT_BOOT';

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/v, 'must be ip:port');

/** The platform's names; keys that are not known are passed over. */
const schema = z.object({
	/** The host's name. */
	nodeName: z.string().min(1),
	zone: z.string().min(1),
	ip: z.string().min(1),
	/** Where callers connect, not the balancer's own front. */
	'listen.front': address,
	'listen.readiness': address,
	/** Nobody outside calls it, so the links between proxies use it. */
	'listen.control': address.optional(),
	/** First and last port that are free for links between proxies. */
	portRange: z.string().regex(/^\d+,\d+$/v, 'must be two ports'),
	seeds: z.string().default(''),
	'platform.address': address,
	/** The service that carries out orders; its name on the platform says nothing of that. */
	'cloud.address': address,
	'bounds.graceS': z.coerce.number().positive(),
	/** The bound of revocation holds for hosts that are out of touch too. */
	'bounds.revokeStrict': z.enum(['true', 'false'], 'must be true or false').default('false'),
	'bounds.revokeMs': z.coerce.number().positive().optional(),
});

/** Reads the text of the settings file; throws BootSettingsError, which names each field that is wrong. */
export function parseBootSettings(text: string): BootSettings {
	const parsed = schema.safeParse(parseLines(text));
	if (!parsed.success) {
		return throwSettingsWrong(parsed.error.issues.map(({path, message}) => `${String(path[0] ?? 'settings')} is wrong: ${message}`));
	}

	const fields = parsed.data;
	const [firstPort] = fields.portRange.split(',');
	return {
		hostName: fields.nodeName,
		availabilityZone: fields.zone,
		callerAddress: fields['listen.front'],
		readinessAddress: fields['listen.readiness'],
		peerAddress: fields['listen.control'] ?? `${fields.ip}:${firstPort}`,
		seeds: fields.seeds.split(',').filter(seed => seed !== ''),
		storeAddress: fields['platform.address'],
		ordersAddress: fields['cloud.address'],
		revokeWithinMs: fields['bounds.revokeStrict'] === 'true' ? fields['bounds.revokeMs'] : undefined,
		graceMs: fields['bounds.graceS'] * 1000,
	};
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
			throwSettingsUnreadable(`a line has no name and value: ${trimmed.slice(0, 60)}`);
		}

		fields[trimmed.slice(0, equals)] = trimmed.slice(equals + 1);
	}

	return fields;
}
