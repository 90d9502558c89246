'use strict';
/** Writes the code cache of the proxy's bundle, after a call of its main function so that the functions compiled by it are included. */
const {writeFileSync} = require('node:fs');
const {loadBundle, CACHE_FILE} = require('../target/aldercroft-proxy.cjs');

const {script, exports: {main}} = loadBundle();
main(['--version'], {write: () => true}).then(() => {
	writeFileSync(CACHE_FILE, script.createCachedData());
});
