/**
 * Plays random schedules of versions and faults from the command line: `npm run check:configuration -- --first SEED --count N`.
 *
 * `--turned-away few|most|all` sets how many hosts the store turns away, `--length-ms MS` how long a schedule lasts,
 * `--max-age-ms MS` for how long work may begin under a configuration that the store has not confirmed again. `--log` prints the
 * proxies' log lines, each after its virtual time.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createLineLog} from '../../src/log/line-log.js';
import {TurnedAway} from './configuration-faults.js';
import {runConfigurationSchedule, type ConfigurationFigures} from './run-configuration-schedule.js';

const {values} = parseArgs({
	options: {
		first: {type: 'string', default: '1'},
		count: {type: 'string', default: '20'},
		'turned-away': {type: 'string', default: TurnedAway.All},
		'length-ms': {type: 'string', default: '40000'},
		'max-age-ms': {type: 'string', default: '15000'},
		log: {type: 'boolean', default: false},
	},
});

/** Violations of one schedule that are printed. */
const MAX_PRINTED = 3;

const [first, count] = [Number(values.first), Number(values.count)];
const turnedAway = Object.values(TurnedAway).find(value => value === values['turned-away']);
if (turnedAway === undefined || ![first, count, Number(values['length-ms']), Number(values['max-age-ms'])].every(number => number > 0)) {
	throw new Error(`--turned-away takes ${Object.values(TurnedAway).join(', ')}; the other options take numbers above 0`);
}

const totals: Record<'schedules' | 'broken' | 'violations' | 'versions' | keyof ConfigurationFigures, number> = {
	schedules: 0, broken: 0, violations: 0, versions: 0, stable: 0, stableBusy: 0, stableAlone: 0, stableBusyAlone: 0, changing: 0, changingBusy: 0, unknown: 0,
};
for (let seed = first; seed < first + count; seed++) {
	const {violations, figures, versions} = await runConfigurationSchedule(seed, {
		turnedAway,
		lengthMs: Number(values['length-ms']),
		maxRoutingAgeMs: Number(values['max-age-ms']),
		...(values.log && {
			createLog: getNow => createLineLog((sentence, fields) => {
				console.log(Math.round(getNow()), sentence, JSON.stringify(fields));
			}),
		}),
	});
	totals.schedules++;
	totals.broken += violations.length > 0 ? 1 : 0;
	totals.violations += violations.length;
	totals.versions += versions;
	for (const key of Object.keys(figures) as Array<keyof ConfigurationFigures>) {
		totals[key] += figures[key];
	}

	if (violations.length > 0) {
		console.log(`seed ${seed}: ${violations.length} violations: ${violations.slice(0, MAX_PRINTED).join('; ')}`);
	}
}

console.log(`totals ${JSON.stringify(totals)}`);
process.exitCode = totals.broken > 0 ? 1 : 0;
