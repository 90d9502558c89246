import {v7, validate, version} from 'uuid';
import type {Random} from './random.js';

/** Creates a UUIDv7 whose time part is `wallMs`, milliseconds since the epoch. */
export function createRequestId(wallMs: number, random: Random): string {
	return v7({msecs: Math.floor(wallMs), random: random.bytes(16)});
}

/** Returns the time part of a UUIDv7 in milliseconds since the epoch; undefined where the id is not a UUIDv7. */
export function getRequestIdTime(requestId: string): number | undefined {
	if (!validate(requestId) || version(requestId) !== 7) {
		return undefined;
	}

	return Number.parseInt(requestId.replaceAll('-', '').slice(0, 12), 16);
}
