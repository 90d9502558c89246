import type {IncomingHttpHeaders} from 'node:http';
import * as z from 'zod';
import {throwPlatformSilent} from '../object-store/platform-errors.js';

/** The header by which the store says how often it has come back from a copy; a platform that never does may leave it out. */
const ERA_HEADER = 'store-era';

const eraSchema = z.string().regex(/^\d{1,15}$/v).transform(Number);

/** Reads the generation of the store that gave an answer, 0 without the header. Throws PlatformError where it cannot be read, since the answer then has no place in any order. */
export function getStoreGeneration(what: string, headers: IncomingHttpHeaders): number {
	const header = headers[ERA_HEADER];
	if (header === undefined) {
		return 0;
	}

	const era = eraSchema.safeParse(header);
	return era.success ? era.data : throwPlatformSilent(what, new Error(`the era ${JSON.stringify(header)} is no number`));
}
