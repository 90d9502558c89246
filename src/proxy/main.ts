import process from 'node:process';
import {createPromGatewayMetrics} from '../gateway/prom-gateway-metrics.js';
import {openAsyncOutput} from '../log/async-output.js';
import {createRateLimitedLog} from '../log/rate-limited-log.js';
import {createBunyanLog} from '../log/bunyan-log.js';
import {createWsPeers} from '../peers/ws-peers.js';
import {BOOT_SETTINGS_VARIABLE, type BootSettings} from '../platform/boot-settings.js';
import {createHttpMetadataStore} from '../platform/http-metadata-store.js';
import {createHttpPromotionOrders} from '../platform/http-promotion-orders.js';
import {createTcpLinkOpener} from '../platform/tcp-link-opener.js';
import {createRequestId} from '../random/request-id.js';
import {createSystemRandom} from '../random/system-random.js';
import {createElapsedClock} from '../time/elapsed-clock.js';
import {createSystemClock} from '../time/system-clock.js';
import type {ProxyParts} from './create-proxy.js';
import {getProxyFeatures} from './proxy-features.js';
import type {ProxyCommandLine} from './read-proxy-command-line.js';
import {runProxy} from './run-proxy.js';

/** The entry point of the proxy on the users' platform, with its real clock, store, peers and endpoints. */

const KEYS_VARIABLE = 'ALDERCROFT_PEER_KEYS';

const output = openAsyncOutput();

function createParts(settings: BootSettings, commandLine: ProxyCommandLine): ProxyParts {
	const clock = createSystemClock();
	const random = createSystemRandom();
	const log = createRateLimitedLog(createBunyanLog({
		clock, name: 'aldercroft-proxy', hostName: settings.hostName, level: 'info', stream: output.stream,
	}), {clock, isBacklogged: output.isBacklogged});
	const metrics = createPromGatewayMetrics();
	const onCall = (call: string, result: string) => {
		metrics.countPlatformCall(call, result);
	};

	const features = getProxyFeatures(settings, commandLine);
	let onStoreBytes: ((bytes: number) => void) | undefined;
	const [peerHost = '', peerPort] = settings.peerAddress.split(':');
	return {
		clock,
		elapsedClock: createElapsedClock(),
		random,
		log,
		metrics,
		store: createHttpMetadataStore({
			address: settings.storeAddress,
			clock,
			log,
			onCall,
			onBytes(bytes) {
				onStoreBytes?.(bytes);
			},
			onUnusableEntry: metrics.countUnusableEntry,
			onGeneration: metrics.setStoreGeneration,
		}),
		observeStoreBytes(listener) {
			onStoreBytes = listener;
		},
		orders: createHttpPromotionOrders({address: settings.ordersAddress, clock, onCall}),
		opener: createTcpLinkOpener({
			clock, hostName: settings.hostName, log, metrics,
		}),
		peers: createWsPeers({
			hostAddress: peerHost, peerPort: Number(peerPort), peerKeys: (process.env[KEYS_VARIABLE] ?? '').split(','), clock, random, log,
		}),
		hostName: settings.hostName,
		availabilityZone: settings.availabilityZone,
		peerAddress: settings.peerAddress,
		seeds: settings.seeds,
		revokeWithinMs: settings.revokeWithinMs,
		maxRoutingAgeMs: settings.maxRoutingAgeMs,
		maxLeavingMs: settings.maxLeavingMs,
		features,
		incarnation: createRequestId(clock.wall(), random),
	};
}

/** Runs the proxy in this process. Resolves with the exit code of the process once its log is flushed. */
export async function main(args: readonly string[], commandOutput: NodeJS.WritableStream = process.stdout): Promise<number> {
	const exitCode = await runProxy({
		settingsPath: process.env[BOOT_SETTINGS_VARIABLE],
		args,
		output: commandOutput,
		errors: process.stderr,
		events: process,
		createParts,
	});
	await output.flush();
	return exitCode;
}
