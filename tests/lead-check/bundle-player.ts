import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build, type Plugin} from 'esbuild';
import type {MissingGuard} from './missing-guards.js';

/** Creates a plugin that removes a guard from the sources while they are bundled. */
function createRemoval({changes}: MissingGuard): Plugin {
	return {
		name: 'missing-guard',
		setup(bundler) {
			// The filter is evaluated as a Go regular expression, which does not support JavaScript's flags.
			bundler.onLoad({filter: /\.ts$/}, async ({path: file}) => {
				const fileChanges = changes.filter(change => path.resolve(change.file) === file);
				if (fileChanges.length === 0) {
					return undefined;
				}

				const source = await readFile(file, 'utf8');
				// eslint-disable-next-line unicorn/no-array-reduce
				return {loader: 'ts', contents: fileChanges.reduce((text, {from, to}) => text.replace(from, () => to), source)};
			});
		},
	};
}

/** Bundles a program that runs schedules against the real source, optionally without one guard, and returns the path of the file. */
export async function bundlePlayer(guard?: MissingGuard, entry = 'tests/lead-check/play.ts'): Promise<string> {
	const outfile = `target/lead-player-${guard?.name ?? 'whole'}-${process.pid}.mjs`;
	await build({
		entryPoints: [entry],
		outfile,
		bundle: true,
		platform: 'node',
		format: 'esm',
		target: 'node20',
		external: ['koffi', 'bunyan', 'msgpackr', 'prom-client', 'ws', 'modern-errors'],
		plugins: guard ? [createRemoval(guard)] : [],
		logLevel: 'error',
	});
	return outfile;
}
