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

/** Takes the configuration from other proxies where the store does not tell it, and passes changes on. */
export type ConfigurationPeers = Service & {
	/**
	 * Compares the version that a peer's frame carried with the one in force, in the background.
	 *
	 * The higher one is fetched from the peer, or offered to it. Cheap where both are the same.
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

/** Asks for what a peer holds above a version, page by page. */
export type EntriesRequest = {
	readonly since: number;
	/** The last name of the page before; empty for the first page. */
	readonly after: string;
};

/** One page of what a peer holds. */
export type EntriesAnswer = {
	readonly entries: readonly GroupEntry[];
	readonly more: boolean;
	/** The peer's revision when it made this page. */
	readonly revision: number;
	readonly loaded: boolean;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'configuration-all': {req: EntriesRequest; res: EntriesAnswer};
		'configuration-get': {req: {readonly group: string}; res: {readonly entry?: GroupEntry}};
		'configuration-offer': {req: {readonly entry: GroupEntry}; res: {readonly taken: boolean}};
	}
}

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		configurationPeers: ConfigurationPeers;
	}
}

/** Groups to a page: about 100 KB in a frame. */
const PAGE_SIZE = 100;
const CALL_TIMEOUT_MS = 1000;
/** Peers to which a change just accepted is offered, each of which offers it on: all of nine hosts, and 99.97% of many. */
const FANOUT = 8;
/** How often the store's silence is looked at, give or take a quarter. */
const PULL_INTERVAL_MS = 1000;
/** The store counts as silent after this long: a watch that works answers more often. */
const STORE_SILENT_MS = 3000;
/** Shortest time between two exchanges about one group with one peer. */
const RECONCILE_INTERVAL_MS = 1000;
/** Exchanges about single groups that run at once; what comes beside them is left to the next frame. */
const MAX_RECONCILING = 8;
/** Addresses of callers remembered for a host that has no list of peers yet. */
const MAX_HEARD = 16;

const entriesRequestSchema = z.object({since: z.int().min(0), after: z.string()});
const entriesAnswerSchema = z.object({
	entries: z.array(z.unknown()), more: z.boolean(), revision: z.int().min(0), loaded: z.boolean(),
});
const getRequestSchema = z.object({group: z.string()});
const getAnswerSchema = z.object({entry: z.unknown()});
const offerRequestSchema = z.object({entry: z.unknown()});

/** Creates the exchange of configuration with other proxies and registers its peer calls. */
export function createConfigurationPeers(options: ConfigurationPeersOptions): ConfigurationPeers {
	const {configuration, peers, hosts, clock, random} = options;
	const log = options.log.withPrefix('configuration peers: ');
	const stopped = new AbortController();
	const rotation = createPeerRotation(random);
	const heard = new Set<string>();
	/** When each exchange began, the oldest first. */
	const reconciledAt = new Map<string, number>();
	let reconciling = 0;

	const getPeerAddresses = () => {
		const usable = hosts.getUsable(clock.now()).filter(host => host.role === 'proxy').map(host => host.address);
		const addresses = usable.length > 1 ? usable : [...usable, ...heard];
		return addresses.filter(address => address !== hosts.self.address);
	};

	const hear = (address: string) => {
		heard.delete(address);
		heard.add(address);
		if (heard.size > MAX_HEARD) {
			heard.delete([...heard][0]!);
		}
	};

	/** Draws up to `count` different addresses. */
	const draw = (count: number) => {
		const addresses = getPeerAddresses();
		const drawn: string[] = [];
		while (drawn.length < count && addresses.length > 0) {
			const index = Math.floor(random.fraction() * addresses.length);
			drawn.push(...addresses.splice(index, 1));
		}

		return drawn;
	};

	const pullFrom = async (address: string) => {
		const since = configuration.loaded ? configuration.revision : 0;
		const entries: unknown[] = [];
		let after = '';
		let first: z.infer<typeof entriesAnswerSchema> | undefined;
		let more = true;
		while (more) {
			const page = entriesAnswerSchema.parse(await peers.call(address, 'configuration-all', {since, after}, CALL_TIMEOUT_MS));
			// The peer's revision may rise between pages; what it held at the first page is in all of them together.
			first ??= page;
			entries.push(...page.entries);
			after = getLastName(page.entries);
			more = page.more && page.entries.length > 0;
		}

		configuration.takePeerEntries({
			since, entries, revision: first?.revision ?? 0, loaded: first?.loaded ?? false,
		});
	};

	/*
	 * Failure: the store is down, or this host alone is cut off from it, and a host that restarts then has no
	 * configuration while one that runs keeps an old one. Another proxy holds what the store told it, with the revision
	 * up to which it is complete, so asking one at a time catches up as a watch would.
	 */
	const pullWhereStoreIsSilent = async () => {
		const isSilent = configuration.getStoreSilenceMs(clock.now()) >= STORE_SILENT_MS;
		const address = isSilent ? rotation.next(getPeerAddresses()) : undefined;
		if (address === undefined) {
			return;
		}

		await pullFrom(address).catch((err: unknown) => {
			rotation.drop(address);
			log.debug('a peer gave no configuration', {address, err});
		});
	};

	const runPulls = async () => {
		while (!stopped.signal.aborted) {
			await clock.sleep(PULL_INTERVAL_MS * (0.75 + (random.fraction() / 2)), stopped.signal);
			await pullWhereStoreIsSilent();
		}
	};

	const offerTo = async (address: string, entry: GroupEntry) => {
		await peers.call(address, 'configuration-offer', {entry}, CALL_TIMEOUT_MS).catch((err: unknown) => {
			log.debug('a peer did not answer an offer', {address, group: entry.name, err});
		});
	};

	const getFrom = async (address: string, group: string) => {
		try {
			const {entry} = getAnswerSchema.parse(await peers.call(address, 'configuration-get', {group}, CALL_TIMEOUT_MS));
			if (entry !== undefined) {
				configuration.takePeerEntry(entry);
			}
		} catch (err) {
			log.debug('a peer gave no group', {address, group, err});
		}
	};

	/** Lets few exchanges through, and one about a group with a peer per interval: every frame of a busy link carries a version. */
	const mayReconcile = (key: string, now: number) => {
		for (const [older, at] of reconciledAt) {
			if (now - at < RECONCILE_INTERVAL_MS) {
				break;
			}

			reconciledAt.delete(older);
		}

		return reconciling < MAX_RECONCILING && !reconciledAt.has(key);
	};

	const exchange = async (group: string, versionSeen: number, address: string) => {
		reconciling++;
		const entry = configuration.getEntry(group);
		await (entry && versionSeen < entry.version ? offerTo(address, entry) : getFrom(address, group));
		reconciling--;
	};

	/*
	 * Failure: this host missed a change that a peer has, or the other way round, and the two decide by different
	 * limits. Each frame carries its sender's version, so the first one exchanged shows it.
	 */
	const reconcile = (group: string, versionSeen: number, fromAddress: string) => {
		const version = configuration.getEntry(group)?.version ?? 0;
		const key = `${group} ${fromAddress}`;
		const now = clock.now();
		if (versionSeen === version || !mayReconcile(key, now)) {
			return;
		}

		hear(fromAddress);
		reconciledAt.set(key, now);
		void exchange(group, versionSeen, fromAddress);
	};

	configuration.onOffer(entry => {
		for (const address of draw(FANOUT)) {
			void offerTo(address, entry);
		}
	});
	peers.handle('configuration-all', async (req, from) => {
		hear(from.address);
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
		hear(from.address);
		return {taken: configuration.takeOffer(offerRequestSchema.parse(req).entry)};
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
