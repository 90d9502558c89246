import * as z from 'zod';
import {
	ObjectKind, type PlatformHost, type PlatformList, type PlatformObject,
} from './platform.js';

/** Validates an object in the platform's response; fields that a newer platform adds are ignored. */
export const platformObjectSchema: z.ZodType<PlatformObject> = z.object({
	kind: z.enum(ObjectKind),
	name: z.string().min(1),
	version: z.int().min(1),
	value: z.unknown(),
	deleted: z.boolean().optional(),
});

/** Validates the response to a list or a watch. */
export const platformListSchema: z.ZodType<PlatformList> = z.object({
	revision: z.int().min(0),
	objects: z.array(platformObjectSchema),
});

/** Validates the host list. */
export const platformHostsSchema: z.ZodType<readonly PlatformHost[]> = z.array(z.object({
	name: z.string().min(1),
	role: z.enum(['proxy', 'endpoint']),
	address: z.string().min(1),
	availabilityZone: z.string().min(1),
	state: z.enum(['live', 'leaving']),
}));
