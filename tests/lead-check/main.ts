/**
 * Runs random schedules from the command line: `npm run check:leads -- --first SEED --count N --jobs N`.
 *
 * `--trouble-ms MS` sets how long faults are injected, `--callers N` the number of callers per proxy. `--swarms` gives each
 * schedule only a few kinds of faults. `--crowded` runs more proxies than each endpoint has connections for. `--rebirths`
 * lets servers restart empty. `--returns` restores the store from a backup. `--stops` stops proxies in order and releases
 * primaries. `--sync` lets the primary wait for one replica, and replicas be deaf or cut off. `--lease` plays schedules of the failover lease alone, `--first` being the seed of all of them. `--log` prints the proxies' log lines, each after
 * its virtual time. `--without NAME` removes a guard first and ends with the first schedule that violates a guarantee;
 * `--without all` does so for each guard in turn.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {rm} from 'node:fs/promises';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {parseArgs} from 'node:util';
import {bundlePlayer} from './bundle-player.js';
import {getMissingGuardOrThrow, MISSING_GUARDS, type MissingGuard} from './missing-guards.js';
import {playLeases} from './play-leases-in-process.js';
import {
	createTotals, TOTALS_PREFIX, type PlayOptions, type PlayTotals,
} from './play-options.js';

const {values} = parseArgs({
	options: {
		first: {type: 'string', default: '1'},
		count: {type: 'string', default: '20'},
		jobs: {type: 'string', default: '1'},
		'trouble-ms': {type: 'string', default: '15000'},
		callers: {type: 'string', default: '2'},
		swarms: {type: 'boolean', default: false},
		crowded: {type: 'boolean', default: false},
		rebirths: {type: 'boolean', default: false},
		returns: {type: 'boolean', default: false},
		stops: {type: 'boolean', default: false},
		sync: {type: 'boolean', default: false},
		lease: {type: 'boolean', default: false},
		log: {type: 'boolean', default: false},
		without: {type: 'string'},
	},
});

/** Number of schedules after which a process is replaced, since its counters and histograms grow with each schedule. */
const MAX_SCHEDULES_PER_PROCESS = 250;

/** The same limit if the first violation ends the search. */
const MAX_SCHEDULES_PER_PROCESS_UNTIL_BROKEN = 20;

const [first, count, jobs] = [Number(values.first), Number(values.count), Number(values.jobs)];

type Search = {
	readonly player: string;
	readonly untilBroken: boolean;
	/** Whether the guard that is missing matters only where the primary waits for a replica. */
	readonly waitsForReplica: boolean;
	readonly children: Set<ChildProcess>;
	readonly totals: PlayTotals;
	/** Seed of the first schedule reported as violating a guarantee. */
	firstBroken?: number;
};

/** Runs some schedules in a child process and prints its lines as they arrive. */
async function playInChildProcess(search: Search, from: number, size: number): Promise<void> {
	const options: PlayOptions = {
		first: from,
		count: size,
		faultsMs: Number(values['trouble-ms']),
		callersPerProxy: Number(values.callers),
		swarms: values.swarms,
		largeFleet: values.crowded,
		emptyRestarts: values.rebirths,
		restores: values.returns,
		stops: values.stops,
		waitsForReplica: values.sync || search.waitsForReplica,
		log: values.log,
	};
	const child = spawn(process.execPath, [search.player, JSON.stringify(options)], {stdio: ['ignore', 'pipe', 'inherit']});
	search.children.add(child);
	let ended = false;
	for await (const line of createInterface({input: child.stdout})) {
		if (line.startsWith(TOTALS_PREFIX)) {
			ended = true;
			const part = JSON.parse(line.slice(TOTALS_PREFIX.length)) as PlayTotals;
			for (const key of Object.keys(part) as Array<keyof PlayTotals>) {
				search.totals[key] += part[key];
			}
		} else if (line.startsWith('seed ') && search.untilBroken) {
			search.firstBroken ??= Number(/\d+/v.exec(line)![0]);
			console.log(line.slice(0, 240));
			for (const other of search.children) {
				other.kill();
			}
		} else {
			console.log(line);
		}
	}

	search.children.delete(child);
	if (!ended && search.firstBroken === undefined) {
		throw new Error(`the process for seeds ${from} to ${from + size - 1} ended without its totals`);
	}
}

async function playAll(guard?: MissingGuard): Promise<Search> {
	const search: Search = {
		player: await bundlePlayer(guard), untilBroken: guard !== undefined, waitsForReplica: guard?.isOfReplicas ?? false, children: new Set(), totals: createTotals(),
	};
	let next = first;
	const work = async () => {
		while (next < first + count && search.firstBroken === undefined) {
			const from = next;
			next += Math.min(search.untilBroken ? MAX_SCHEDULES_PER_PROCESS_UNTIL_BROKEN : MAX_SCHEDULES_PER_PROCESS, Math.ceil(count / jobs));
			await playInChildProcess(search, from, Math.min(next, first + count) - from);
			if (!search.untilBroken) {
				console.log(`so far ${JSON.stringify(search.totals)}`);
			}
		}
	};

	try {
		await Promise.all(Array.from({length: jobs}, work));
	} finally {
		await rm(search.player);
	}

	return search;
}

/** Returns the number of the first schedule that a program without the guard breaks; undefined if it breaks none. */
async function findFirstBroken(guard: MissingGuard): Promise<number | undefined> {
	if (guard.isOfLease) {
		const {schedules, counterexample} = await playLeases({runs: count, seed: first, guard});
		return counterexample && schedules;
	}

	const {firstBroken} = await playAll(guard);
	return firstBroken === undefined ? undefined : firstBroken - first + 1;
}

if (values.without) {
	const guards = values.without === 'all' ? MISSING_GUARDS : [getMissingGuardOrThrow(values.without)];
	for (const guard of guards) {
		const broken = await findFirstBroken(guard);
		console.log(`without ${guard.without}: ${broken === undefined ? `none broken in ${count}` : `broken by schedule ${broken}`}`);
	}
} else if (values.lease) {
	const report = await playLeases({runs: count, seed: first});
	console.log(TOTALS_PREFIX + JSON.stringify(report));
	process.exitCode = report.counterexample ? 1 : 0;
} else {
	const {totals} = await playAll();
	console.log(TOTALS_PREFIX + JSON.stringify(totals));
	process.exitCode = totals.broken + totals.notServed > 0 ? 1 : 0;
}
