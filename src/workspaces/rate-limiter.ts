import type {HostRecord} from '../leadership/leadership-record.js';
import {createHostRanking, type HostRanking} from '../membership/host-ranking.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import {createComeBackTimes} from '../refusals/come-back-times.js';
import type {Clock} from '../time/clock.js';
import {createPeerContact} from './peer-contact.js';
import type {TokenGrant, TokenRequest} from './rate-limit-calls.js';
import {createTokenBucket, type TokenBucket} from './token-bucket.js';
import type {TokenIssuer} from './token-issuer.js';
import type {RateLimit, Workspace} from './workspace.js';

/** Whether an operation may run now. */
export type RateVerdict = {readonly allowed: true} | {readonly allowed: false; readonly retryAfterMs: number};

/** Holds the workspaces' operations to their limits over the whole fleet. */
export type RateLimiter = {
	/** Takes a token for one operation of the workspace. */
	take(workspace: Workspace): Promise<RateVerdict>;
};

/** What the limiter needs. */
export type RateLimiterOptions = {
	readonly peers: Peers;
	readonly unreachable: UnreachableHosts;
	readonly clock: Clock;
	readonly ownPeerAddress: string;
	/** Answers for the workspaces that this host counts, and for those whose hosts are not reached. */
	readonly issuer: TokenIssuer;
	/** Registered hosts that are not gone. */
	getHosts(): readonly HostRecord[];
};

/** A host that counts answers within this time, in milliseconds: some fifty times the way between zones. */
const ANSWER_WITHIN_MS = 120;

/** Hosts that may count a workspace's operations: the first, and some to turn to in order where that does not answer. */
const COUNTING_HOSTS = 3;

/** Part of the limit that all hosts together may use where each is alone: it adds to what the host that counts grants to those that reach it. */
const ALONE_PART = 0.25;

/** Tokens that were granted ahead are good for so long, in milliseconds. */
const AHEAD_MS = 1000;

/** After a refusal this host asks again after so long at most, in milliseconds; what is left over meanwhile stays in the bucket. */
const REFUSED_MS = 100;

/** Most tokens ahead of their operations at one host. */
const MOST_AHEAD = 16;

type Waiting = (verdict: RateVerdict) => void;

type Local = {
	/** Tokens that were granted ahead. */
	ahead: number;
	aheadUntil: number;
	refusedUntil: number;
	/** Operations since the last question. */
	recent: number;
	askedAt: number;
	readonly comeBackTimes: ReturnType<typeof createComeBackTimes>;
	waiting: Waiting[];
	asking: boolean;
	/** This host's part of the limit, for when no host that counts answers. */
	ownPart?: TokenBucket;
};

/**
 * Creates the limiter. One host, the same for all by rendezvous, counts a workspace's operations and issues tokens; the others ask it for each operation, or for some ahead while
 * the limit is far.
 */
export function createRateLimiter({peers, unreachable, clock, ownPeerAddress, issuer, getHosts}: RateLimiterOptions): RateLimiter {
	const locals = new Map<string, Local>();
	let ranked: {readonly hosts: readonly HostRecord[]; readonly ranking: HostRanking<HostRecord>} | undefined;

	const contact = createPeerContact(peers, clock);

	peers.handle('rate-limit-take', async req => {
		contact.noteHeard();
		return issuer.grant(req, clock.now());
	});

	const getRanking = () => {
		const hosts = getHosts();
		if (ranked?.hosts !== hosts) {
			ranked = {hosts, ranking: createHostRanking(hosts.filter(({gone}) => !gone))};
		}

		return ranked.ranking;
	};

	const getLocal = (workspace: string): Local => {
		const local = locals.get(workspace) ?? {
			ahead: 0, aheadUntil: 0, refusedUntil: 0, recent: 0, askedAt: clock.now(), comeBackTimes: createComeBackTimes(), waiting: [], asking: false,
		};
		locals.set(workspace, local);
		return local;
	};

	/**
	 * Grants by this host alone, a part of the limit that all hosts together may use. Guards the limit where the hosts that count are not reached: each other host would
	 * else let all of its callers pass.
	 */
	const grantOwnPart = (local: Local, {ratePerSecond, burst}: RateLimit, needed: number): TokenGrant => {
		const now = clock.now();
		const share = ALONE_PART / Math.max(1, getHosts().length);
		const part = {ratePerSecond: ratePerSecond * share, burst: burst * share};
		local.ownPart ??= createTokenBucket(part, part.burst, now);
		local.ownPart.setLimit(part, now);
		const tokens = local.ownPart.take(needed, now);
		return tokens < needed ? {tokens, retryAfterMs: Math.min(REFUSED_MS, local.ownPart.getWaitMs(now))} : {tokens};
	};

	/** Asks a host that counts, this one perhaps; undefined where it does not answer. */
	const askOne = async (address: string, counting: readonly string[], req: TokenRequest): Promise<TokenGrant | undefined> => {
		if (address === ownPeerAddress) {
			// Cut off from all others, this host would grant the limit to its own callers beside a host that grants it to everybody else's.
			const isHeard = await contact.check(counting.filter(other => other !== ownPeerAddress));
			return isHeard ? issuer.grant(req, clock.now()) : undefined;
		}

		if (unreachable.has(address, clock.now())) {
			return undefined;
		}

		try {
			const grant = await peers.call(address, 'rate-limit-take', req, ANSWER_WITHIN_MS);
			contact.noteHeard();
			return grant;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			unreachable.add(address, clock.now());
			return undefined;
		}
	};

	const askCounting = async (counting: readonly string[], req: TokenRequest) => {
		for (const address of counting) {
			const grant = await askOne(address, counting, req);
			if (grant) {
				return grant;
			}
		}

		return undefined;
	};

	const ask = async (local: Local, name: string, limit: RateLimit, needed: number): Promise<TokenGrant> => {
		const now = clock.now();
		const expected = local.recent * AHEAD_MS / Math.max(AHEAD_MS, now - local.askedAt);
		local.recent = 0;
		local.askedAt = now;
		const req = {
			workspace: name, limit, needed, ahead: Math.min(MOST_AHEAD, Math.floor(expected)),
		};
		const counting = getRanking().getOwners(name, COUNTING_HOSTS, {isUsable: () => true, nearZones: []}).map(({peerAddress}) => peerAddress);
		// Before any host is registered this one is the only one, as far as it knows.
		return counting.length === 0 ? issuer.grant(req, now) : await askCounting(counting, req) ?? grantOwnPart(local, limit, needed);
	};

	const refuse = (local: Local, leastMs: number, {ratePerSecond}: RateLimit): RateVerdict => ({
		allowed: false, retryAfterMs: local.comeBackTimes.take(leastMs, ratePerSecond > 0 ? 1000 / ratePerSecond : 0, clock.now()),
	});

	/** Serves all who wait with one question after the other. */
	const askForWaiting = async (local: Local, name: string, limit: RateLimit) => {
		local.asking = true;
		while (local.waiting.length > 0) {
			const served = local.waiting;
			local.waiting = [];
			const {tokens, retryAfterMs} = await ask(local, name, limit, served.length);
			for (const resolve of served.slice(0, tokens)) {
				resolve({allowed: true});
			}

			for (const resolve of served.slice(tokens)) {
				resolve(refuse(local, retryAfterMs ?? REFUSED_MS, limit));
			}

			const now = clock.now();
			local.ahead = Math.max(0, tokens - served.length);
			local.aheadUntil = now + AHEAD_MS;
			if (retryAfterMs !== undefined) {
				local.refusedUntil = now + Math.min(REFUSED_MS, retryAfterMs);
			}
		}

		local.asking = false;
	};

	return {
		async take({name, limit}) {
			if (!limit) {
				return {allowed: true};
			}

			const local = getLocal(name);
			const now = clock.now();
			local.recent++;
			if (now < local.refusedUntil) {
				return refuse(local, local.refusedUntil - now, limit);
			}

			if (local.ahead > 0 && now < local.aheadUntil) {
				local.ahead--;
				return {allowed: true};
			}

			return new Promise(resolve => {
				local.waiting.push(resolve);
				if (!local.asking) {
					void askForWaiting(local, name, limit);
				}
			});
		},
	};
}
