import {ReadPolicy, type Route, type Routing} from '../../src/routes/routing.js';
import type {Random} from '../../src/random/random.js';
import type {InMemoryMetadataStore} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import type {VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** Publishes versions of the configuration that add and drop routes, and knows which routes each moment's versions had. */
export type VersionStorm = {
	/** Publishes versions until the virtual time `until`. */
	run(until: number): Promise<void>;
	/** Whether a version that was in force at a moment from `from` to `to` has (or lacks) a route for the database. */
	wasEver(database: string, present: boolean, from: number, to: number): boolean;
	/** Number of versions published. */
	readonly versions: number;
};

/** Databases whose routes come and go. */
export const CHANGING_DATABASES: readonly string[] = Array.from({length: 12}, (_, i) => `changing-${i}`);

/** Databases that every version has. */
export const STABLE_DATABASES: readonly string[] = ['sync', 'review', 'roster'];

/** A database that no version has. */
export const UNKNOWN_DATABASE = 'never';

/** Name of the only group. */
export const GROUP = 'nights';

/** Returns the route of a database. */
export function createRoute(database: string): Route {
	const policy = database === 'sync' ? ReadPolicy.Primary : ReadPolicy.Bounded;
	return {
		name: database, database, group: GROUP, policy, maxReadAgeMs: 1500, statementTimeoutMs: 1000, targetLatencyMs: 200, priority: 1,
	};
}

/** Maximum time between two versions, in milliseconds. */
const MAX_GAP_MS = 1200;

/** Creates a storm over a store that holds a version with the stable routes. */
export function createVersionStorm(store: InMemoryMetadataStore, clock: VirtualClock, random: Random): VersionStorm {
	const present = new Set<string>();
	/** By database, the moments from which on it had a route or lacked it. */
	const changes = new Map(CHANGING_DATABASES.map(database => [database, [{at: Number.NEGATIVE_INFINITY, present: false}]]));
	let version = 1;

	const toggle = (database: string) => {
		const isAdded = !present.has(database);
		if (isAdded) {
			present.add(database);
		} else {
			present.delete(database);
		}

		changes.get(database)!.push({at: clock.now(), present: isAdded});
	};

	const publish = () => {
		version += 1 + Math.floor(random.fraction() * 4);
		const routing: Routing = {
			version,
			routes: new Map([...STABLE_DATABASES, ...present].map(database => [database, createRoute(database)])),
			groups: new Map([[GROUP, {name: GROUP, maxConnections: 22}]]),
			workspaces: new Map(),
			idleTransactionMs: 3000,
		};
		store.setRouting(routing);
	};

	return {
		async run(until) {
			while (clock.now() < until) {
				await clock.sleep(80 + (random.fraction() * MAX_GAP_MS));
				toggle(CHANGING_DATABASES[Math.floor(random.fraction() * CHANGING_DATABASES.length)]!);
				publish();
			}
		},
		wasEver(database, wanted, from, to) {
			if (database === UNKNOWN_DATABASE || STABLE_DATABASES.includes(database)) {
				return wanted === STABLE_DATABASES.includes(database);
			}

			const all = changes.get(database)!;
			return all.some((change, i) => change.present === wanted && change.at <= to && (all[i + 1]?.at ?? Number.POSITIVE_INFINITY) > from);
		},
		get versions() {
			return version;
		},
	};
}
