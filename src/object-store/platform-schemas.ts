import * as z from 'zod';
import {
	ObjectKind, type PlatformHost, type PlatformList, type PlatformObject,
} from './platform.js';

/** Checks an object as the platform answers it; fields that a newer platform adds are passed over. */
export const platformObjectSchema: z.ZodType<PlatformObject> = z.object({
	kind: z.enum(ObjectKind),
	name: z.string().min(1),
	version: z.int().min(1),
	value: z.unknown(),
	deleted: z.boolean().optional(),
});

/** Checks the answer to a list or a watch. */
export const platformListSchema: z.ZodType<PlatformList> = z.object({
	revision: z.int().min(0),
	objects: z.array(platformObjectSchema),
});

/** Checks the host list. */
export const platformHostsSchema: z.ZodType<readonly PlatformHost[]> = z.array(z.object({
	name: z.string().min(1),
	role: z.enum(['proxy', 'endpoint']),
	address: z.string().min(1),
	availabilityZone: z.string().min(1),
	state: z.enum(['live', 'leaving']),
}));
