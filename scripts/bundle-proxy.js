#!/usr/bin/env node
/** Bundles the proxy into one file under target/: a restart loads one file in place of some hundred. */
import {build} from 'esbuild';

await build({
	entryPoints: ['src/proxy/main.ts'],
	outfile: 'target/aldercroft-proxy.mjs',
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minify: true,
	keepNames: true,
	legalComments: 'none',
	// A native library, and Bunyan's optional parts, which it does without.
	external: ['koffi', 'dtrace-provider', 'mv', 'source-map-support', 'safe-json-stringify', 'moment'],
	banner: {js: 'import {createRequire} from "node:module"; const require = createRequire(import.meta.url);'},
});
