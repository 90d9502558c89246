import process from 'node:process';
import {createLineLog} from '../../src/log/line-log.js';
import {createTotals, TOTALS_PREFIX, type PlayOptions} from './play-options.js';
import {runLeadSchedule} from './run-lead-schedule.js';

/** Prints lines behind their virtual time in milliseconds. */
const createPrintedLog = (getNow: () => number) => createLineLog((sentence, fields) => {
	console.log(Math.round(getNow()), sentence, JSON.stringify(fields));
});

/** Plays the schedules that its argument names; a broken one is printed as it comes, the totals at the end. */
const {first, count, troubleMs, callersPerProxy, swarms, crowded, rebirths, returns, log} = JSON.parse(process.argv[2]!) as PlayOptions;
const totals = createTotals();
for (let seed = first; seed < first + count; seed++) {
	const {violations, servedAfterwards, figures, promotions} = await runLeadSchedule(seed, {
		lengthMs: troubleMs, callersPerProxy, swarms, crowded, rebirths, returns, ...(log ? {createLog: createPrintedLog} : {}),
	});
	totals.schedules++;
	totals.broken += violations.length > 0 ? 1 : 0;
	totals.notServed += servedAfterwards ? 0 : 1;
	totals.acknowledged += figures.acknowledged;
	totals.reads += figures.reads;
	totals.refused += figures.refused;
	totals.unknown += figures.unknown;
	totals.promotions += promotions;
	if (violations.length > 0 || !servedAfterwards) {
		console.log(`seed ${seed}: ${servedAfterwards ? '' : 'nothing was served afterwards; '}${violations.slice(0, 3).join('; ')}`);
	}
}

console.log(TOTALS_PREFIX + JSON.stringify(totals));
