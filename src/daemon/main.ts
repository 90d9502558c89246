#!/usr/bin/env node
import process from 'node:process';
import {createPgEndpoints} from '../endpoints/pg-endpoint.js';
import {createBunyanLog} from '../log/bunyan-log.js';
import {createPromMetrics} from '../metrics/prom-metrics.js';
import {createWsPeers} from '../peers/ws-peers.js';
import {createHttpPlatform} from '../object-store/http-platform.js';
import {createSystemRandom} from '../random/system-random.js';
import type {Settings} from '../settings/settings.js';
import {createSystemClock} from '../time/system-clock.js';
import type {DaemonDependencies} from './create-daemon.js';
import {registerServices} from './register-services.js';
import {runDaemon} from './run-daemon.js';

/** Creates the dependencies of `aldercroftd` as they are in production. */
function createDependencies(settings: Settings): DaemonDependencies {
	const clock = createSystemClock();
	const random = createSystemRandom();
	const log = createBunyanLog({
		clock, name: 'aldercroftd', hostName: settings.hostName, level: settings.logLevel,
	});
	return {
		clock,
		random,
		settings,
		log,
		metrics: createPromMetrics({processMetrics: true}),
		platform: createHttpPlatform({baseUrl: settings.platformUrl, clock}),
		peers: createWsPeers({
			hostAddress: settings.hostAddress, peerPort: settings.peerPort, peerKeys: settings.peerKeys, clock, random, log,
		}),
		endpoints: createPgEndpoints({
			user: settings.endpointUser, password: settings.endpointPassword, database: settings.endpointDatabase, clock,
		}),
	};
}

const exitCode = await runDaemon({
	args: process.argv.slice(2),
	env: process.env,
	output: process.stdout,
	errors: process.stderr,
	events: process,
	createDependencies,
	registerServices,
	countOpenTransactions: kernel => kernel.getOrThrow('transactions').getOpenCount(),
});
process.exit(exitCode);
