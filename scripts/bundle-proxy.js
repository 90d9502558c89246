#!/usr/bin/env node
/** Bundles the proxy under target/ and makes its code cache: a restart loads one file in place of some hundred, and compiles little of it. */
import {spawnSync} from 'node:child_process';
import {copyFileSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import launcher from './proxy-launcher.cjs';

/** The flags under which the program runs: V8 takes a cache only under those that it was made with. */
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
	// The first is a native library; the launcher leaves out the others.
	external: ['koffi', ...launcher.LEFT_OUT],
});
copyFileSync('scripts/proxy-launcher.cjs', 'target/aldercroft-proxy.cjs');

const cache = spawnSync(process.execPath, [...getProgramFlags(), 'scripts/make-code-cache.cjs'], {stdio: 'inherit'});
process.exitCode = cache.status ?? 1;
