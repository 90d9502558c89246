/**
 * Plays random schedules by hand: `npm run check:leads -- --first SEED --count N --jobs N`.
 *
 * `--trouble-ms MS` shortens the time of trouble, `--callers N` sets how many each proxy has, `--swarms` gives each
 * schedule a few kinds of trouble only; `--log` prints the proxies' lines behind their virtual time.
 */
import {spawn} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {parseArgs} from 'node:util';
import type {Log, LogFields} from '../../src/log/log.js';
import {runLeadSchedule, type LeadScheduleOptions} from './run-lead-schedule.js';

const {values} = parseArgs({
	options: {
		first: {type: 'string', default: '1'},
		count: {type: 'string', default: '20'},
		jobs: {type: 'string', default: '1'},
		'trouble-ms': {type: 'string', default: '15000'},
		callers: {type: 'string', default: '2'},
		swarms: {type: 'boolean', default: false},
		log: {type: 'boolean', default: false},
	},
});

/** Schedules that a process plays before another takes its place: its counters and histograms grow with each. */
const SCHEDULES_A_PROCESS = 250;

const TOTALS_PREFIX = 'totals ';

/** What the schedules came to, together. */
type Totals = Record<'schedules' | 'broken' | 'notServed' | 'acknowledged' | 'reads' | 'refused' | 'unknown' | 'promotions', number>;

function createTotals(): Totals {
	return {
		schedules: 0, broken: 0, notServed: 0, acknowledged: 0, reads: 0, refused: 0, unknown: 0, promotions: 0,
	};
}

/** Prints lines behind their virtual time in milliseconds. */
function createPrintedLog(getNow: () => number, prefix = ''): Log {
	const print = (sentence: string, fields: LogFields = {}) => {
		console.log(Math.round(getNow()), prefix + sentence, JSON.stringify(fields));
	};

	return {
		debug() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		info: print,
		warn: print,
		error: print,
		part: inner => createPrintedLog(getNow, prefix + inner),
	};
}

async function playHere(first: number, count: number): Promise<Totals> {
	const options: LeadScheduleOptions = {
		lengthMs: Number(values['trouble-ms']), callersPerProxy: Number(values.callers), swarms: values.swarms, ...(values.log ? {createLog: createPrintedLog} : {}),
	};
	const totals = createTotals();
	for (let seed = first; seed < first + count; seed++) {
		const {violations, servedAfterwards, figures, promotions} = await runLeadSchedule(seed, options);
		totals.schedules++;
		totals.broken += violations.length > 0 ? 1 : 0;
		totals.notServed += servedAfterwards ? 0 : 1;
		totals.acknowledged += figures.acknowledged;
		totals.reads += figures.reads;
		totals.refused += figures.refused;
		totals.unknown += figures.unknown;
		totals.promotions += promotions;
		if (violations.length > 0 || !servedAfterwards) {
			console.log(`seed ${seed}:`, violations.slice(0, 3), 'served afterwards:', servedAfterwards);
		}
	}

	return totals;
}

/** Plays some schedules in a process of their own; its findings are printed as they come. */
async function playApart(first: number, count: number): Promise<Totals> {
	const kind = ['--trouble-ms', values['trouble-ms'], '--callers', values.callers, ...(values.swarms ? ['--swarms'] : [])];
	const args = [...process.execArgv, process.argv[1]!, '--first', String(first), '--count', String(count), ...kind];
	const child = spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'inherit']});
	let totals: Totals | undefined;
	for await (const line of createInterface({input: child.stdout})) {
		if (line.startsWith(TOTALS_PREFIX)) {
			totals = JSON.parse(line.slice(TOTALS_PREFIX.length)) as Totals;
		} else {
			console.log(line);
		}
	}

	if (!totals) {
		throw new Error(`the process for seeds ${first} to ${first + count - 1} ended without its totals`);
	}

	return totals;
}

async function playInJobs(first: number, count: number, jobs: number): Promise<Totals> {
	const totals = createTotals();
	let next = first;
	const work = async () => {
		while (next < first + count) {
			const begin = next;
			const size = Math.min(SCHEDULES_A_PROCESS, first + count - begin);
			next += size;
			const part = await playApart(begin, size);
			for (const key of Object.keys(totals) as Array<keyof Totals>) {
				totals[key] += part[key];
			}

			console.log(`so far ${JSON.stringify(totals)}`);
		}
	};

	await Promise.all(Array.from({length: jobs}, work));
	return totals;
}

const [first, count, jobs] = [Number(values.first), Number(values.count), Number(values.jobs)];
const play = jobs > 1 ? playInJobs : playHere;
const all = await play(first, count, jobs);
console.log(TOTALS_PREFIX + JSON.stringify(all));
process.exitCode = all.broken + all.notServed > 0 ? 1 : 0;
