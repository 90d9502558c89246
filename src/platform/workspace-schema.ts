import * as z from 'zod';
import type {Workspace} from '../workspaces/workspace.js';

/** A workspace as the operator writes it. Its name and keys stand in messages, where blanks separate the fields. */
const workspaceSchema = z.object({
	name: z.string().regex(/^\S+$/v),
	apiKeys: z.array(z.string().regex(/^\S+$/v)),
	priority: z.number().default(0),
	/** Of operations; left out where the workspace has no limit. */
	ratePerS: z.number().nonnegative().optional(),
	burst: z.number().nonnegative().optional(),
});

/**
 * Decodes the workspaces of a configuration, by name. One that cannot be read is told to `onUnusable` and left out: its callers are turned away rather than
 * served under keys that may have been revoked.
 */
export function decodeWorkspaces(entries: readonly unknown[], onUnusable: (entry: unknown) => void): ReadonlyMap<string, Workspace> {
	const workspaces = new Map<string, Workspace>();
	for (const entry of entries) {
		const read = workspaceSchema.safeParse(entry);
		if (!read.success || workspaces.has(read.data.name)) {
			onUnusable(withoutKeys(entry));
			continue;
		}

		const {name, apiKeys, priority, ratePerS, burst} = read.data;
		workspaces.set(name, {
			name,
			keys: apiKeys,
			priority,
			limit: ratePerS === undefined ? undefined : {ratePerSecond: ratePerS, burst: burst ?? ratePerS},
		});
	}

	return workspaces;
}

/** What a log line may show of an entry. */
function withoutKeys(entry: unknown): unknown {
	return typeof entry === 'object' && entry !== null ? {...entry, apiKeys: undefined} : entry;
}
