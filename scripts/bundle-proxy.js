#!/usr/bin/env node
/** Bundles the proxy under target/ and creates its code cache, so that a restart loads one file instead of some hundred and compiles little of it. */
import {spawnSync} from 'node:child_process';
import {copyFileSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import launcher from './proxy-launcher.cjs';

/** Returns the Node flags that the program runs with: V8 accepts a code cache only under the flags that it was created with. */
function getProgramFlags() {
	const [, command] = /^run = "node (?<command>[^"]*)"/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
	const words = command.split(' ');
	return words.slice(0, words.findIndex(word => !word.startsWith('--')));
}

await build({
	entryPoints: ['src/proxy/main.ts'],
	outfile: 'target/aldercroft-proxy.bundle.cjs',
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	minifyWhitespace: true,
	minifySyntax: true,
	legalComments: 'none',
	// koffi is a native library; the launcher excludes the other modules.
	external: ['koffi', ...launcher.LEFT_OUT],
});
copyFileSync('scripts/proxy-launcher.cjs', 'target/aldercroft-proxy.cjs');

const cache = spawnSync(process.execPath, [...getProgramFlags(), 'scripts/make-code-cache.cjs'], {stdio: 'inherit'});
process.exitCode = cache.status ?? 1;
