import process from 'node:process';
import type {Log, LogFields} from '../../src/log/log.js';
import {runLeadSchedule} from './run-lead-schedule.js';

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

/** Plays schedules by hand: `tsx tests/lead-check/main.ts [FIRST SEED] [COUNT] [log]`; with `log` the proxies' lines are printed. */
const [first = 1, count = 20] = process.argv.slice(2, 4).map(Number);
const prints = process.argv[4] === 'log';
const totals = {
	schedules: 0, broken: 0, notServed: 0, acknowledged: 0, reads: 0, refused: 0, unknown: 0, promotions: 0,
};
for (let seed = first; seed < first + count; seed++) {
	const outcome = await runLeadSchedule(seed, prints ? {createLog: createPrintedLog} : {});
	totals.schedules++;
	totals.broken += outcome.violations.length > 0 ? 1 : 0;
	totals.notServed += outcome.servedAfterwards ? 0 : 1;
	totals.acknowledged += outcome.figures.acknowledged;
	totals.reads += outcome.figures.reads;
	totals.refused += outcome.figures.refused;
	totals.unknown += outcome.figures.unknown;
	totals.promotions += outcome.promotions;
	if (outcome.violations.length > 0 || !outcome.servedAfterwards) {
		console.log(`seed ${seed}:`, outcome.violations.slice(0, 3), 'served afterwards:', outcome.servedAfterwards);
	}
}

console.log(JSON.stringify(totals));
process.exitCode = totals.broken + totals.notServed > 0 ? 1 : 0;
