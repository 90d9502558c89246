import type {IncomingHttpHeaders} from 'node:http';
import * as z from 'zod';
import {throwPlatformSilent} from '../object-store/platform-errors.js';

/** The response header with the store generation: how often the store was restored from a backup. A platform that never restores its store may omit it. */
const GENERATION_HEADER = 'store-era';

const generationSchema = z.string().regex(/^\d{1,15}$/v).transform(Number);

/**
 * Returns the store generation that a response states, 0 without the header. Throws PlatformError if the header cannot be parsed, since the response
 * then cannot be ordered among others.
 */
export function getStoreGeneration(what: string, headers: IncomingHttpHeaders): number {
	const header = headers[GENERATION_HEADER];
	if (header === undefined) {
		return 0;
	}

	const generation = generationSchema.safeParse(header);
	return generation.success ? generation.data : throwPlatformSilent(what, new Error(`the store generation ${JSON.stringify(header)} is not a number`));
}
