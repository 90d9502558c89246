import * as z from 'zod';
import type {Service} from '../kernel/service.js';
import type {Log} from '../log/log.js';
import type {Hosts} from '../membership/hosts.js';
import type {Peers} from '../peers/peers.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {ConfigurationState} from './create-configuration.js';
import type {GroupEntry} from './group-entry.js';
import {createPeerRotation} from './peer-rotation.js';

/** Fetches the configuration from other proxies while the store is silent, and passes changes on to them. */
export type ConfigurationPeers = Service & {
	/**
	 * Compares the group version that a peer's frame carried with the one in force here.
	 *
	 * A higher version is fetched from the peer and a lower one is answered with an offer, both in the background. Does
	 * nothing where the versions are equal.
	 * @param fromAddress The peer's `ip:port`.
	 */
	reconcile(group: string, versionSeen: number, fromAddress: string): void;
};

/** Options of {@link createConfigurationPeers}. */
export type ConfigurationPeersOptions = {
	readonly configuration: ConfigurationState;
	readonly peers: Peers;
	readonly hosts: Pick<Hosts, 'self' | 'getUsable'>;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** Requests one page of the entries that a peer holds above a version. */
export type EntriesRequest = {
	readonly since: number;
	/** The last group name of the previous page; empty for the first page. */
	readonly after: string;
};

/** One page of the entries that a peer holds. */
export type EntriesResponse = {
	readonly entries: readonly GroupEntry[];
	readonly more: boolean;
	/** The peer's revision when it made this page. */
	readonly revision: number;
	readonly loaded: boolean;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'configuration-all': {req: EntriesRequest; res: EntriesResponse};
		'configuration-get': {req: {readonly group: string}; res: {readonly entry?: GroupEntry}};
		'configuration-offer': {req: {readonly entry: GroupEntry}; res: {readonly taken: boolean}};
	}
}

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		configurationPeers: ConfigurationPeers;
	}
}

/** Groups per page: about 100 KB in a frame. */
const PAGE_SIZE = 100;
const CALL_TIMEOUT_MS = 1000;
/** Number of random peers to which each accepted change is offered. They offer it on in turn, which reaches all of nine hosts and 99.97% of a large fleet. */
const FANOUT = 8;
/** Mean interval between checks for a silent store; each pause differs from it by up to a quarter. */
const PULL_INTERVAL_MS = 1000;
/** The store counts as silent after this long without a response: a working watch gets responses more often. */
const STORE_SILENT_MS = 3000;
/** Minimum interval between two exchanges about the same group with the same peer. */
const RECONCILE_INTERVAL_MS = 1000;
/** Maximum number of exchanges about single groups that run at once. Further ones are skipped; the next frame triggers them again. */
const MAX_CONCURRENT_EXCHANGES = 8;
/** Maximum number of peers remembered from their calls and frames, for a host that has no host list yet. */
const MAX_RECENT_PEERS = 16;

const entriesRequestSchema = z.object({since: z.int().min(0), after: z.string()});
const entriesResponseSchema = z.object({
	entries: z.array(z.unknown()), more: z.boolean(), revision: z.int().min(0), loaded: z.boolean(),
});
const getRequestSchema = z.object({group: z.string()});
const getResponseSchema = z.object({entry: z.unknown()});
const offerRequestSchema = z.object({entry: z.unknown()});

/** Creates the service that exchanges configuration with other proxies, and registers its peer calls. */
export function createConfigurationPeers(options: ConfigurationPeersOptions): ConfigurationPeers {
	const {configuration, peers, hosts, clock, random} = options;
	const log = options.log.withPrefix('configuration peers: ');
	const stopped = new AbortController();
	const rotation = createPeerRotation(random);
	const recentPeers = new Set<string>();
	/** Start time of each recent exchange by group and peer, the oldest first. */
	const reconciledAt = new Map<string, number>();
	let runningExchanges = 0;

	const getPeerAddresses = () => {
		const usable = hosts.getUsable(clock.now()).filter(host => host.role === 'proxy').map(host => host.address);
		const addresses = usable.length > 1 ? usable : [...usable, ...recentPeers];
		return addresses.filter(address => address !== hosts.self.address);
	};

	const rememberPeer = (address: string) => {
		recentPeers.delete(address);
		recentPeers.add(address);
		if (recentPeers.size > MAX_RECENT_PEERS) {
			recentPeers.delete([...recentPeers][0]!);
		}
	};

	/** Returns up to `count` different addresses in random order. */
	const pickRandomPeers = (count: number) => {
		const addresses = getPeerAddresses();
		const picked: string[] = [];
		while (picked.length < count && addresses.length > 0) {
			const index = Math.floor(random.fraction() * addresses.length);
			picked.push(...addresses.splice(index, 1));
		}

		return picked;
	};

	const pullFrom = async (address: string) => {
		const since = configuration.loaded ? configuration.revision : 0;
		const entries: unknown[] = [];
		let after = '';
		let first: z.infer<typeof entriesResponseSchema> | undefined;
		let more = true;
		while (more) {
			const page = entriesResponseSchema.parse(await peers.call(address, 'configuration-all', {since, after}, CALL_TIMEOUT_MS));
			// The peer's revision may rise between pages. The pages together are complete only up to its revision at the first one.
			first ??= page;
			entries.push(...page.entries);
			after = getLastName(page.entries);
			more = page.more && page.entries.length > 0;
		}

		configuration.applyPeerEntries({
			since, entries, revision: first?.revision ?? 0, loaded: first?.loaded ?? false,
		});
	};

	/*
	 * Failure: the store is down, or only this host is cut off from it. A host that restarts then has no configuration,
	 * and a running one keeps an old one. Other proxies hold the entries that they received from the store and the
	 * revision up to which these are complete, so pulling from one peer at a time catches up as a watch would.
	 */
	const pullIfStoreSilent = async () => {
		const isSilent = configuration.getStoreSilenceMs(clock.now()) >= STORE_SILENT_MS;
		const address = isSilent ? rotation.next(getPeerAddresses()) : undefined;
		if (address === undefined) {
			return;
		}

		await pullFrom(address).catch((err: unknown) => {
			rotation.drop(address);
			log.debug('could not pull the configuration from a peer', {address, err});
		});
	};

	const runPulls = async () => {
		while (!stopped.signal.aborted) {
			await clock.sleep(PULL_INTERVAL_MS * (0.75 + (random.fraction() / 2)), stopped.signal);
			await pullIfStoreSilent();
		}
	};

	const offerTo = async (address: string, entry: GroupEntry) => {
		await peers.call(address, 'configuration-offer', {entry}, CALL_TIMEOUT_MS).catch((err: unknown) => {
			log.debug('could not offer a group to a peer', {address, group: entry.name, err});
		});
	};

	const getFrom = async (address: string, group: string) => {
		try {
			const {entry} = getResponseSchema.parse(await peers.call(address, 'configuration-get', {group}, CALL_TIMEOUT_MS));
			if (entry !== undefined) {
				configuration.applyPeerEntry(entry);
			}
		} catch (err) {
			log.debug('could not get a group from a peer', {address, group, err});
		}
	};

	/** Limits the number of concurrent exchanges, and their rate for each group and peer: every frame of a busy link carries a version. */
	const mayReconcile = (key: string, now: number) => {
		for (const [oldKey, startedAt] of reconciledAt) {
			if (now - startedAt < RECONCILE_INTERVAL_MS) {
				break;
			}

			reconciledAt.delete(oldKey);
		}

		return runningExchanges < MAX_CONCURRENT_EXCHANGES && !reconciledAt.has(key);
	};

	const exchange = async (group: string, versionSeen: number, address: string) => {
		runningExchanges++;
		const entry = configuration.getEntry(group);
		await (entry && versionSeen < entry.version ? offerTo(address, entry) : getFrom(address, group));
		runningExchanges--;
	};

	/*
	 * Failure: this host missed a change that a peer has, or the other way round, and the two apply different limits.
	 * Each frame carries its sender's version, so the first frame between them shows the difference.
	 */
	const reconcile = (group: string, versionSeen: number, fromAddress: string) => {
		const version = configuration.getEntry(group)?.version ?? 0;
		const key = `${group} ${fromAddress}`;
		const now = clock.now();
		if (versionSeen === version || !mayReconcile(key, now)) {
			return;
		}

		rememberPeer(fromAddress);
		reconciledAt.set(key, now);
		void exchange(group, versionSeen, fromAddress);
	};

	configuration.onOffer(entry => {
		for (const address of pickRandomPeers(FANOUT)) {
			void offerTo(address, entry);
		}
	});
	peers.handle('configuration-all', async (req, from) => {
		rememberPeer(from.address);
		const {since, after} = entriesRequestSchema.parse(req);
		const entries = configuration.getEntries(since).filter(entry => entry.name > after);
		return {
			entries: entries.slice(0, PAGE_SIZE),
			more: entries.length > PAGE_SIZE,
			revision: configuration.revision,
			loaded: configuration.loaded,
		};
	});
	peers.handle('configuration-get', async req => ({entry: configuration.getEntry(getRequestSchema.parse(req).group)}));
	peers.handle('configuration-offer', async (req, from) => {
		rememberPeer(from.address);
		return {taken: configuration.applyOffer(offerRequestSchema.parse(req).entry)};
	});

	return {
		reconcile,
		async start() {
			void runPulls();
		},
		async stop() {
			stopped.abort();
		},
	};
}

function getLastName(entries: readonly unknown[]): string {
	const {name} = z.object({name: z.string()}).parse(entries.at(-1) ?? {name: ''});
	return name;
}
