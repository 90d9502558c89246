/**
 * Takes what serves a crowd of proxies before few connections away, one part at a time: `npm run ablate:crowd`.
 *
 * Thirty proxies, two groups of three endpoints of fourteen connections each, 240 operations a second; once alone and once beside callers that rest in
 * transactions. Time is virtual; each row has the mean of three seeds.
 */
import {execFile} from 'node:child_process';
import {rm} from 'node:fs/promises';
import process from 'node:process';
import {promisify} from 'node:util';
import {bundlePlayer} from '../lead-check/bundle-player.js';
import type {MissingGuard} from '../lead-check/missing-guards.js';

const SEEDS = [1, 2, 3];

/** Callers that rest at once: none, and as many as take most connections of both primaries. */
const RESTING = [0, 20];

/** The parts, each with what stands in its place. */
const PARTS: readonly MissingGuard[] = [
	{
		name: 'lending',
		without: 'lent connections: each host opens its own',
		changes: [{file: 'src/connection-sharing/pool-hosts.ts', from: 'const isEnoughForAll = ', to: 'const isEnoughForAll = true || '}],
	},
	{
		name: 'reserve',
		without: 'a connection left to single statements',
		changes: [{file: 'src/links/create-endpoint-pool.ts', from: 'return single || left > 0', to: 'return true || left > 0'}],
	},
	{
		name: 'rechoose',
		without: 'choosing another endpoint after 100 ms',
		changes: [{file: 'src/gateway/acquire-link.ts', from: 'const until = candidates.length > 1 ?', to: 'const until = candidates.length > 100 ?'}],
	},
	{
		name: 'positions',
		without: 'positions from hosts that see more of the primary',
		changes: [{file: 'src/connection-sharing/sample-fetcher.ts', from: 'if (!poolHosts.isShared(', to: 'if (clock.now() > 0 || !poolHosts.isShared('}],
	},
];

type Row = Record<'asked' | 'inAim' | 'late' | 'refused' | 'longestMs' | 'credit', number>;

const run = promisify(execFile);

async function measure(part: MissingGuard | undefined, resting: number): Promise<Row> {
	const player = await bundlePlayer(part, 'tests/crowd-check/play.ts');
	try {
		const rows: Row[] = [];
		for (const seed of SEEDS) {
			const {stdout} = await run(process.execPath, [player, String(seed), String(resting)]);
			rows.push(JSON.parse(stdout) as Row);
		}

		const names = Object.keys(rows[0]!) as Array<keyof Row>;
		return Object.fromEntries(names.map(name => [name, Number((rows.reduce((sum, row) => sum + row[name], 0) / rows.length).toFixed(3))])) as Row;
	} finally {
		await rm(player);
	}
}

for (const resting of RESTING) {
	for (const part of [undefined, ...PARTS]) {
		const row = await measure(part, resting);
		console.log(`${resting} resting, ${part ? `without ${part.without}` : 'all parts'}: ${JSON.stringify(row)}`);
	}
}
