/**
 * Soaks statements under faults, with proxies as processes: `npm run check:statements -- --seed N --seconds S --proxies P`; build the bundle before.
 *
 * `--count N` plays as many seeds one after the other, `--connections N` is the number of connections that a server accepts. `--bundle PATH` is the program of all proxies, `--earlier PATH` that of every other one, for a rolling replacement. There,
 * callers of the earlier proxies send shapes of one word, arguments that are not empty, no lines near the size limit and no session values in transactions: versions before
 * 8b91160 break the others by themselves, whatever hosts of this version do, and only what these could have prevented counts against them. `--calm` leaves out the faults. `--keep FOLDER` writes what was sent and ran, the faults and
 * the proxies' logs.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {StatementRule} from './check-statements.js';
import {runStatementSoak, type StatementSoakResult} from './run-statement-soak.js';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		count: {type: 'string', default: '1'},
		seconds: {type: 'string', default: '20'},
		proxies: {type: 'string', default: '4'},
		connections: {type: 'string', default: '4'},
		bundle: {type: 'string'},
		earlier: {type: 'string'},
		calm: {type: 'boolean', default: false},
		keep: {type: 'string'},
	},
});

/** Violations of each rule that are printed for a seed. */
const MAX_PRINTED = 3;

/** Characters of a line that are printed. */
const MAX_SHOWN = 100;

const [first, count, seconds, proxies, connections] = [values.seed, values.count, values.seconds, values.proxies, values.connections].map(Number) as [number, number, number, number, number];
if (![first, count, proxies, connections].every(number => Number.isSafeInteger(number) && number > 0) || !(seconds > 0)) {
	throw new Error('--seed, --count, --proxies and --connections take whole numbers above 0, --seconds a number above 0');
}

let broken = 0;
for (let seed = first; seed < first + count; seed++) {
	const result = await runStatementSoak({
		seed, seconds, proxies, connections, bundle: values.bundle, earlierBundle: values.earlier, faults: !values.calm,
	});
	const byRule = Object.values(StatementRule).map(rule => result.violations.filter(violation => violation.rule === rule));
	const counts = byRule.map((found, i) => `${found.length} ${Object.values(StatementRule)[i]}`).join(', ');
	console.log(`seed ${seed}: ${counts}, ${result.malformed.length} lines not understood ${JSON.stringify(result.figures)}`);
	for (const violation of byRule.flatMap(found => found.slice(0, MAX_PRINTED))) {
		console.log(`  ${violation.rule} ${violation.id} (${violation.session ?? 'no session'}): ${violation.what}`);
	}

	for (const line of result.malformed.slice(0, MAX_PRINTED)) {
		console.log(`  not understood: ${JSON.stringify(line.slice(0, MAX_SHOWN))}`);
	}

	if (result.violations.length > 0 || result.malformed.length > 0) {
		broken++;
	}

	if (values.keep !== undefined) {
		keep(path.join(values.keep, `seed-${seed}`), result);
	}
}

process.exitCode = broken > 0 ? 1 : 0;

function keep(folder: string, {violations, sessions, ran, faults, logs}: StatementSoakResult) {
	mkdirSync(folder, {recursive: true});
	const write = (name: string, lines: readonly string[]) => {
		writeFileSync(path.join(folder, name), lines.map(line => `${line}\n`).join(''));
	};

	write('violations', violations.map(violation => JSON.stringify(violation)));
	write('sessions', sessions.flatMap(({name, exchanges}) => exchanges.map(exchange => JSON.stringify({session: name, ...exchange}, shorten))));
	write('ran', ran.map(statement => JSON.stringify({...statement, values: Object.fromEntries(statement.values)}, shorten)));
	write('faults', faults);
	for (const [name, lines] of logs) {
		write(name, lines);
	}
}

/** Cuts texts near the size limit. */
function shorten(_key: string, value: unknown) {
	return typeof value === 'string' ? value.slice(0, 200) : value;
}
