import {createCheckoutOpener} from '../../src/connection-sharing/checkout-opener.js';
import {createCheckoutServer, type CheckoutServerOptions} from '../../src/connection-sharing/checkout-server.js';
import type {RemoteLink} from '../../src/connection-sharing/remote-link.js';
import {createRemoteRead} from '../../src/connection-sharing/remote-read.js';
import {TurnWait} from '../../src/connection-sharing/turn-wait.js';
import type {AcquireRequest} from '../../src/links/endpoint-pool.js';
import type {SessionLink} from '../../src/links/link-session.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import {createCallError} from '../../src/peers/peer-errors.js';
import {decodeFrames, encodeFrame, FrameType} from '../../src/peers/peer-frame.js';
import {DEFAULT_PEER_LIMITS} from '../../src/peers/peer-limits.js';
import type {Peers} from '../../src/peers/peers.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import type {Clock} from '../../src/time/clock.js';

const POOL_HOST = '10.1.0.8:7000';
const REMOTE_HOST = {address: '10.1.0.7:7000'};

/** The pool of the connections to the one endpoint, at the pool host. */
export type OwnPool = {
	acquire(request: AcquireRequest): Promise<SessionLink | undefined>;
	release(sessionLink: SessionLink): void;
};

/** A remote host and a pool host, with every call between them encoded into frames of the size that the product allows. */
export type HostPair = {
	/** Kinds of the calls that reached the pool host. */
	readonly calls: string[];
	/** Whether the remote host takes the pool host for unreachable. */
	readonly isMarked: boolean;
	startRead(acquireRequest: AcquireRequest): SessionLink;
	checkOut(acquireRequest: AcquireRequest): Promise<RemoteLink | undefined>;
};

/** Creates the two hosts. */
export function createHostPair(pool: OwnPool, clock: Clock): HostPair {
	const handlers = new Map<string, (req: unknown, from: unknown) => Promise<unknown>>();
	const calls: string[] = [];
	const unreachable = createUnreachableHosts();

	const transfer = <T>(value: T, isResponse: boolean): T => {
		const frame = isResponse
			? {type: FrameType.Response, id: 1, res: value} as const
			: {
				type: FrameType.Call, id: 1, kind: 'any', req: value,
			} as const;
		const [decoded] = decodeFrames(encodeFrame(frame, DEFAULT_PEER_LIMITS.maxFrameBytes));
		return (decoded as {readonly req?: T; readonly res?: T})[isResponse ? 'res' : 'req']!;
	};

	const peers = {
		handle(kind: string, handler: (req: unknown, from: unknown) => Promise<unknown>) {
			handlers.set(kind, handler);
		},
		async call(address: string, kind: string, req: unknown) {
			const received = transfer(req, false);
			calls.push(kind);
			const res = await handlers.get(kind)!(received, REMOTE_HOST);
			try {
				return transfer(res, true);
			} catch (err) {
				throw createCallError(address, kind, (err as Error).message, true);
			}
		},
	} as unknown as Peers;

	handlers.set('host-alive', async () => ({alive: true}));
	createCheckoutServer({
		peers,
		directory: {get: () => ({entry: {id: 'i-1', group: 'nights'}, ownPool: {...pool, health: {getSuspicion: () => undefined}}}), mayTakeWork: () => true},
		primaryLeases: {get: () => ({epoch: 4, primaryId: 'i-1'})},
		knowledge: {getSamples: () => ({note() {}})}, // eslint-disable-line @typescript-eslint/no-empty-function
		clock,
		elapsedClock: {elapsed: () => clock.now()},
		random: createSeededRandom(1),
		log: createSilentLog(),
		getMaxIdleMs: () => 600_000,
	} as unknown as CheckoutServerOptions);

	const wait = new TurnWait({peers, clock});
	const ignore = () => undefined;
	const open = createCheckoutOpener({
		endpointId: 'i-1', peers, unreachable, clock, wait, onReceived: ignore, onResponse: ignore,
	});

	return {
		calls,
		get isMarked() {
			return unreachable.has(POOL_HOST, clock.now());
		},
		startRead: acquireRequest => createRemoteRead({
			endpointId: 'i-1', acquireRequest, peers, unreachable, clock, getPoolHosts: () => [POOL_HOST], runOnOwn: async () => undefined, onReceived: ignore, onUnreachable: ignore, wait,
		}),
		async checkOut(acquireRequest) {
			const result = await open(POOL_HOST, acquireRequest);
			return typeof result === 'object' ? result : undefined;
		},
	};
}
