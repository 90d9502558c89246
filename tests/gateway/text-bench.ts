import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createCallerSession} from '../../src/gateway/caller-session.js';
import type {GatewayParts} from '../../src/gateway/gateway-parts.js';
import type {LinkTarget} from '../../src/links/endpoint-link.js';
import type {AcquireRequest} from '../../src/links/endpoint-pool.js';
import {createSessionLink, type SessionLink} from '../../src/links/link-session.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createPlacementKnowledge} from '../../src/placement/placement-knowledge.js';
import {createTcpCallerChannel} from '../../src/platform/tcp-caller-channel.js';
import {createTcpLinkOpener} from '../../src/platform/tcp-link-opener.js';
import type {RetryBudget} from '../../src/retries/retry-budget.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import {createServiceTime} from '../../src/scheduling/service-time.js';
import {createSystemClock} from '../../src/time/system-clock.js';
import {createHostPair, type HostPair, type OwnPool} from '../connection-sharing/host-pair.js';
import {startTextEndpoint, type TextEndpoint} from './text-endpoint.js';

/** How much longer than any answer takes a statement may wait, in milliseconds, so that no verdict depends on the time. */
const PATIENCE_MS = 600_000;

const ROUTE: Route = {
	name: 'd', database: 'd', group: 'nights', policy: ReadPolicy.Primary, maxReadAgeMs: 0, statementTimeoutMs: PATIENCE_MS, targetLatencyMs: PATIENCE_MS, priority: 0,
};

/** A second attempt, which a slow machine would cause, would run a statement twice. */
const NO_RETRIES: RetryBudget = {
	noteFresh() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	noteTry() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	take: () => false,
	getState: () => ({left: 0, nextAfterMs: 0, freshEveryMs: Infinity}),
};

/** The answer to one request, as its caller received it. */
export type CallerAnswer = {readonly rows: readonly string[]; readonly end: string; readonly state: string};

/** Callers of one gateway, whose statements run on one connection to an endpoint, of this host or of a pool host. */
export type TextBench = {
	readonly endpoint: TextEndpoint;
	readonly pair: HostPair;
	/**
	 * Opens a session, sends these pieces of the byte stream one by one, and ends its side; resolves with the answers that came until the session ended, without that to the
	 * startup message.
	 */
	converse(pieces: readonly string[]): Promise<readonly CallerAnswer[]>;
	stop(): void;
};

/** Gives one connection to one request after the other. */
function createOnePool(endpoint: TextEndpoint): OwnPool {
	const opener = createTcpLinkOpener({clock: createSystemClock(), hostName: 'gateway'});
	const listener = {onSent() {}, onReceived() {}, onAnswered() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
	let free = Promise.resolve();
	let onReleased: (() => void) | undefined;
	let sessionLink: SessionLink | undefined;

	return {
		async acquire() {
			const before = free;
			let release!: () => void;
			free = new Promise(resolve => {
				release = resolve;
			});
			await before;
			onReleased = release;
			if (!sessionLink || sessionLink.link.closed) {
				const target: LinkTarget = {group: 'nights', address: endpoint.address, endpointId: 'i-1'};
				sessionLink = createSessionLink(await opener.open(target, PATIENCE_MS, listener), {address: endpoint.address});
			}

			return sessionLink;
		},
		release() {
			onReleased?.();
		},
	};
}

function createParts(pool: OwnPool, pair: HostPair, isRemote: boolean) {
	const clock = createSystemClock();
	const lease = {
		group: 'nights', primaryId: 'i-1', epoch: 4, term: 1, start: {term: 1, position: 0},
	};
	const checkouts = new Map<SessionLink, () => void>();
	const acquireRemote = async (req: AcquireRequest) => {
		if (req.read) {
			const read = pair.startRead(req);
			checkouts.set(read, () => undefined);
			return read;
		}

		const checkout = await pair.checkOut(req);
		if (checkout) {
			checkouts.set(checkout, checkout.release);
		}

		return checkout;
	};

	const sharedPool = {
		health: {getSuspicion: () => undefined},
		acquire: isRemote ? acquireRemote : async (req: AcquireRequest) => pool.acquire(req),
		release(sessionLink: SessionLink) {
			if (isRemote) {
				checkouts.get(sessionLink)!();
				checkouts.delete(sessionLink);
			} else {
				pool.release(sessionLink);
			}
		},
	};
	const endpoint = {entry: {id: 'i-1', group: 'nights', availabilityZone: 'z'}, pool: sharedPool};
	const ignore = () => undefined;
	return {
		clock,
		elapsedClock: {elapsed: () => clock.now()},
		log: createSilentLog(),
		metrics: {
			observeStatement: ignore, observeLinkWait: ignore, countRead: ignore, countRetry: ignore, countCommitRecheck: ignore, setSessions: ignore,
		},
		mirror: {
			isRoutingComplete: true,
			get routingConfirmedAt() {
				return clock.now();
			},
			get partsConfirmedAt() {
				return clock.now();
			},
			state: {
				leadership: new Map(),
				routing: {
					version: 1, routes: new Map([['d', ROUTE]]), groups: new Map(), workspaces: new Map(), idleTransactionMs: PATIENCE_MS,
				},
			},
			confirmSoon: ignore,
		},
		primaryLeases: {
			get: () => lease, holds: () => true, isSuperseded: () => false, changed: async () => clock.sleep(PATIENCE_MS),
		},
		primaryWork: {begin: () => ignore},
		acknowledgedCommits: {note: ignore},
		cutOffs: {isCutOff: () => false},
		directory: {list: () => [endpoint], get: () => endpoint, mayTakeWork: () => true},
		knowledge: createPlacementKnowledge(),
		access: {authorize: () => ({allowed: true})},
		features: {},
		operationTimes: createServiceTime(20),
	} as unknown as GatewayParts;
}

/** Splits what a caller received into answers; each ends with the line of the session state. */
function toAnswers(text: string): readonly CallerAnswer[] {
	const answers: CallerAnswer[] = [];
	let rows: string[] = [];
	let end = '';
	for (const line of text.split('\r\n').slice(0, -1)) {
		if (line.startsWith('READY ')) {
			answers.push({rows, end, state: line.split(' ')[1]!});
			rows = [];
			end = '';
		} else if (line.startsWith('DATAROW ')) {
			rows.push(line.slice('DATAROW '.length));
		} else {
			end = line;
		}
	}

	return end === '' ? answers : [...answers, {rows, end, state: 'closed'}];
}

/** Starts the gateway with its endpoint. With `isRemote` the connection is that of a pool host. */
export async function startTextBench(isRemote: boolean): Promise<TextBench> {
	const endpoint = await startTextEndpoint();
	const pool = createOnePool(endpoint);
	const pair = createHostPair(pool, createSystemClock());
	const parts = createParts(pool, pair, isRemote);
	const sessions: Array<Promise<void>> = [];
	const server: Server = createServer({allowHalfOpen: true}, socket => {
		sessions.push(createCallerSession({
			parts, channel: createTcpCallerChannel(socket), getBudget: () => NO_RETRIES, getStopPlan: () => undefined,
		}).run());
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;

	return {
		endpoint,
		pair,
		async converse(pieces) {
			const caller: Socket = connect({port, host: '127.0.0.1', noDelay: true});
			let received = '';
			caller.setEncoding('latin1').on('data', (chunk: string) => {
				received += chunk;
			});
			const ended = once(caller, 'close');
			caller.on('error', () => undefined);
			for (const piece of ['STARTUP d\r\n', ...pieces, 'TERMINATE\r\n']) {
				caller.write(piece, 'latin1');
				await nextTurn();
			}

			await ended;
			await Promise.all(sessions.splice(0));
			return toAnswers(received).slice(1);
		},
		stop() {
			server.close();
			endpoint.stop();
		},
	};
}
