#!/usr/bin/env node
'use strict';
/**
 * Starts the proxy from its bundle with V8's code cache, so that a restart does not compile what the cache holds. A cache that is missing, or was created by another
 * version of Node or under other flags, is not used, and the start takes longer.
 */
const {readFileSync} = require('node:fs');
const {createRequire} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

const BUNDLE_FILE = path.join(__dirname, 'aldercroft-proxy.bundle.cjs');
const CACHE_FILE = path.join(__dirname, 'aldercroft-proxy.bundle.cache');

/** Optional dependencies of bunyan, which the proxy does not need. If they are found in node_modules, one of them loads many modules, which delays every start. */
const LEFT_OUT = ['dtrace-provider', 'mv', 'source-map-support', 'safe-json-stringify', 'moment'];

function readCache() {
	try {
		return readFileSync(CACHE_FILE);
	} catch {
		return undefined;
	}
}

/** Compiles and runs the bundle; returns its script and its exports. */
function loadBundle() {
	const requireModule = createRequire(BUNDLE_FILE);
	const requireListed = name => {
		if (LEFT_OUT.includes(name)) {
			throw new Error(`${name} is left out`);
		}

		return requireModule(name);
	};

	const source = readFileSync(BUNDLE_FILE, 'utf8');
	const script = new vm.Script(`(function (exports, require, module) {${source}\n})`, {
		filename: BUNDLE_FILE, cachedData: readCache(), importModuleDynamically: vm.constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
	});
	const bundle = {exports: {}};
	script.runInThisContext()(bundle.exports, requireListed, bundle);
	return {script, exports: bundle.exports};
}

module.exports = {loadBundle, CACHE_FILE, LEFT_OUT};

if (require.main === module) {
	const {main} = loadBundle().exports;
	main(process.argv.slice(2)).then(exitCode => {
		process.exit(exitCode);
	});
}
