/**
 * Measures a large fleet with few connections, without one of its mechanisms at a time: `npm run ablate:crowd`.
 *
 * Thirty proxies send 240 operations per second to two groups of three endpoints with fourteen connections each, once alone
 * and once beside callers that idle in transactions. Time is virtual, and each row is the mean of three seeds.
 */
import {execFile} from 'node:child_process';
import {rm} from 'node:fs/promises';
import process from 'node:process';
import {promisify} from 'node:util';
import {bundlePlayer} from '../lead-check/bundle-player.js';
import type {MissingGuard} from '../lead-check/missing-guards.js';

const SEEDS = [1, 2, 3];

/** Number of callers that idle in transactions: none, and as many as occupy most connections of both primaries. */
const IDLE_CALLERS = [0, 20];

/** The mechanisms, each with the change that removes it. */
const MECHANISMS: readonly MissingGuard[] = [
	{
		name: 'lending',
		without: 'connection sharing: each host opens its own connections',
		changes: [{file: 'src/connection-sharing/pool-hosts.ts', from: 'const isEnoughForAll = ', to: 'const isEnoughForAll = true || '}],
	},
	{
		name: 'reserve',
		without: 'a connection reserved for single statements',
		changes: [{file: 'src/links/create-endpoint-pool.ts', from: 'return single || left > 0', to: 'return true || left > 0'}],
	},
	{
		name: 'rechoose',
		without: 'choosing another endpoint after 100 ms',
		changes: [{file: 'src/gateway/acquire-link.ts', from: 'const until = candidates.length > 1 ?', to: 'const until = candidates.length > 100 ?'}],
	},
	{
		name: 'positions',
		without: 'log positions from hosts that see more of the primary',
		changes: [{file: 'src/connection-sharing/sample-fetcher.ts', from: 'if (!poolHosts.isShared(', to: 'if (clock.now() > 0 || !poolHosts.isShared('}],
	},
];

type Row = Record<'asked' | 'inTarget' | 'late' | 'refused' | 'longestMs' | 'credit', number>;

const run = promisify(execFile);

async function measure(part: MissingGuard | undefined, idleCallers: number): Promise<Row> {
	const player = await bundlePlayer(part, 'tests/crowd-check/play.ts');
	try {
		const rows: Row[] = [];
		for (const seed of SEEDS) {
			const {stdout} = await run(process.execPath, [player, String(seed), String(idleCallers)]);
			rows.push(JSON.parse(stdout) as Row);
		}

		const names = Object.keys(rows[0]!) as Array<keyof Row>;
		return Object.fromEntries(names.map(name => [name, Number((rows.reduce((sum, row) => sum + row[name], 0) / rows.length).toFixed(3))])) as Row;
	} finally {
		await rm(player);
	}
}

for (const idleCallers of IDLE_CALLERS) {
	for (const part of [undefined, ...MECHANISMS]) {
		const row = await measure(part, idleCallers);
		console.log(`${idleCallers} idle callers, ${part ? `without ${part.without}` : 'all parts'}: ${JSON.stringify(row)}`);
	}
}
