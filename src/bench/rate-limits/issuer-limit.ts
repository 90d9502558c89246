import {createUnreachableHosts} from '../../membership/unreachable-hosts.js';
import type {Peers} from '../../peers/peers.js';
import {createPeerNetwork} from '../../stand-ins/peers/in-memory-peers.js';
import {createRateLimiter} from '../../workspaces/rate-limiter.js';
import {createTokenIssuer} from '../../workspaces/token-issuer.js';
import {createTokenSource} from '../../workspaces/token-source.js';
import {ONE_WAY_MS, type FleetLimit, type FleetLimitOptions} from './fleet-limit.js';

/** Enforces the limit like the product: one host counts and issues tokens, and its fallbacks take over where it does not respond. */
export function createIssuerLimit({clock, hosts: hostCount, limit: firstLimit}: FleetLimitOptions): FleetLimit {
	const network = createPeerNetwork(clock, {latencyMs: ONE_WAY_MS});
	const hosts = Array.from({length: hostCount}, (_, i) => ({name: `entry-${i}`, peerAddress: `entry-${i}:7000`, availabilityZone: `zone-${i % 4}`}));
	const dead = new Set<number>();
	let limit = firstLimit;
	let messages = 0;
	let lastCalled = hosts[0]!.peerAddress;

	const countMessages = (peers: Peers): Peers => ({
		async call(address, kind, req, timeoutMs) {
			messages += 2;
			lastCalled = address;
			return peers.call(address, kind, req, timeoutMs);
		},
		handle: peers.handle,
	});

	const limiters = hosts.map(({peerAddress}) => {
		const peers = network.addHost(peerAddress);
		peers.handle('host-alive', async () => ({alive: true as const}));
		return createRateLimiter({
			source: createTokenSource({
				peers: countMessages(peers),
				unreachable: createUnreachableHosts(),
				clock,
				ownPeerAddress: peerAddress,
				issuer: createTokenIssuer({getLimit: () => limit}),
				getHosts: () => hosts,
			}),
			clock,
			countHosts: () => hosts.length,
		});
	});

	return {
		get messages() {
			return messages;
		},
		dead,
		async take(host) {
			const {allowed} = await limiters[host]!.take({
				name: 'north', keys: [], priority: 0, limit,
			});
			return allowed;
		},
		setLimit(changed) {
			limit = changed;
		},
		killCoordinator() {
			network.kill(lastCalled);
			dead.add(hosts.findIndex(({peerAddress}) => peerAddress === lastCalled));
		},
	};
}
