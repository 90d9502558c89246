#!/usr/bin/env node
/** Bundles the proxy into one file under target/: a restart loads one file in place of some hundred. */
import {build} from 'esbuild';

/** Bunyan's optional parts, which the proxy does without: found in node_modules, one of them loads much that each start would wait for. */
const LEFT_OUT = ['dtrace-provider', 'mv', 'source-map-support', 'safe-json-stringify', 'moment'];

const REQUIRE = `
import {createRequire} from "node:module";
const requireModule = createRequire(import.meta.url);
const require = Object.assign(name => {
	if (${JSON.stringify(LEFT_OUT)}.includes(name)) {
		throw new Error(name + " is left out");
	}

	return requireModule(name);
}, requireModule);
`;

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
	// The first is a native library.
	external: ['koffi', ...LEFT_OUT],
	banner: {js: REQUIRE},
});
