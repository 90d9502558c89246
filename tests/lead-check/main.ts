/**
 * Plays random schedules by hand: `npm run check:leads -- --first SEED --count N --jobs N`.
 *
 * `--trouble-ms MS` sets the time of trouble, `--callers N` how many each proxy has; `--swarms` gives each schedule a few
 * kinds of trouble only; `--crowded` has more proxies than each endpoint has connections for; `--rebirths` has servers start over empty; `--returns` has the store come back from
 * a copy; `--log` prints the proxies' lines behind their virtual time. `--without NAME` takes a guard out
 * first and ends with the first broken schedule; `--without all` does so with each in turn.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {rm} from 'node:fs/promises';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {parseArgs} from 'node:util';
import {bundlePlayer} from './bundle-player.js';
import {getMissingGuardOrThrow, MISSING_GUARDS, type MissingGuard} from './missing-guards.js';
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
		log: {type: 'boolean', default: false},
		without: {type: 'string'},
	},
});

/** Schedules that a process plays before another takes its place: its counters and histograms grow with each. */
const MOST_IN_A_PROCESS = 250;

/** The same where the first broken one ends the whole. */
const MOST_UNTIL_BROKEN = 20;

const [first, count, jobs] = [Number(values.first), Number(values.count), Number(values.jobs)];

type Search = {
	readonly player: string;
	readonly untilBroken: boolean;
	readonly children: Set<ChildProcess>;
	readonly totals: PlayTotals;
	/** Lowest seed that was broken. */
	firstBroken?: number;
};

/** Plays some schedules in a process of their own; its lines are printed as they come. */
async function playApart(search: Search, from: number, size: number): Promise<void> {
	const options: PlayOptions = {
		first: from,
		count: size,
		troubleMs: Number(values['trouble-ms']),
		callersPerProxy: Number(values.callers),
		swarms: values.swarms,
		crowded: values.crowded,
		rebirths: values.rebirths,
		returns: values.returns,
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
		player: await bundlePlayer(guard), untilBroken: guard !== undefined, children: new Set(), totals: createTotals(),
	};
	let next = first;
	const work = async () => {
		while (next < first + count && search.firstBroken === undefined) {
			const from = next;
			next += Math.min(search.untilBroken ? MOST_UNTIL_BROKEN : MOST_IN_A_PROCESS, Math.ceil(count / jobs));
			await playApart(search, from, Math.min(next, first + count) - from);
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

if (values.without) {
	const guards = values.without === 'all' ? MISSING_GUARDS : [getMissingGuardOrThrow(values.without)];
	for (const guard of guards) {
		const {firstBroken} = await playAll(guard);
		console.log(`without ${guard.without}: ${firstBroken === undefined ? `none broken in ${count}` : `broken by schedule ${firstBroken - first + 1}`}`);
	}
} else {
	const {totals} = await playAll();
	console.log(TOTALS_PREFIX + JSON.stringify(totals));
	process.exitCode = totals.broken + totals.notServed > 0 ? 1 : 0;
}
