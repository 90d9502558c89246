import process from 'node:process';
import {createLineLog} from '../../src/log/line-log.js';
import {createTotals, TOTALS_PREFIX, type PlayOptions} from './play-options.js';
import {runLeadershipSchedule} from './run-leadership-schedule.js';

/** Creates a log that prints each line after its virtual time in milliseconds. */
const createPrintedLog = (getNow: () => number) => createLineLog((sentence, fields) => {
	console.log(Math.round(getNow()), sentence, JSON.stringify(fields));
});

/** Runs the schedules given by the JSON argument. A schedule that violates a guarantee is printed at once, the totals at the end. */
const {first, count, faultsMs, callersPerProxy, swarms, largeFleet, emptyRestarts, restores, stops, waitsForReplica, log} = JSON.parse(process.argv[2]!) as PlayOptions;
const totals = createTotals();
for (let seed = first; seed < first + count; seed++) {
	const {violations, servedAfterwards, figures, promotions} = await runLeadershipSchedule(seed, {
		lengthMs: faultsMs, callersPerProxy, swarms, largeFleet, emptyRestarts, restores, stops, waitsForReplica, ...(log ? {createLog: createPrintedLog} : {}),
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
