import * as z from 'zod';
import type {Workspace} from '../workspaces/workspace.js';

/** The same bound as of a route's priority. */
const MAX_PRIORITY = 1000;

/** Operations per second that no workspace reaches. */
const MAX_RATE = 1_000_000_000;

/** A workspace as the operator writes it. Its name and keys are fields of messages, where blanks separate the fields, so they contain no blank. */
const workspaceSchema = z.object({
	name: z.string().regex(/^\S+$/v),
	apiKeys: z.array(z.string().regex(/^\S+$/v)),
	priority: z.number().nonnegative().max(MAX_PRIORITY).default(0),
	/** Operations per second; omitted if the workspace has no limit. */
	ratePerS: z.number().nonnegative().max(MAX_RATE).optional(),
	burst: z.number().nonnegative().max(MAX_RATE).optional(),
});

/**
 * Decodes the workspaces of a configuration, by name. One that cannot be decoded is passed to `onUnusable` without its keys and omitted: its callers are
 * refused rather than served under keys that may have been revoked. A second workspace of the same name is treated likewise.
 */
export function decodeWorkspaces(entries: readonly unknown[], onUnusable: (entry: unknown) => void): ReadonlyMap<string, Workspace> {
	const workspaces = new Map<string, Workspace>();
	for (const entry of entries) {
		const parsed = workspaceSchema.safeParse(entry);
		if (!parsed.success || workspaces.has(parsed.data.name)) {
			onUnusable(omitKeys(entry));
			continue;
		}

		const {name, apiKeys, priority, ratePerS, burst} = parsed.data;
		workspaces.set(name, {
			name,
			keys: apiKeys,
			priority,
			limit: ratePerS === undefined ? undefined : {ratePerSecond: ratePerS, burst: burst ?? ratePerS},
		});
	}

	return workspaces;
}

/** Returns an entry without its keys, which must not be logged. */
function omitKeys(entry: unknown): unknown {
	return typeof entry === 'object' && entry !== null ? {...entry, apiKeys: undefined} : entry;
}
