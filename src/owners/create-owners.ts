import type {Configuration} from '../configuration/configuration.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import type {Log} from '../log/log.js';
import type {Peers} from '../peers/peers.js';
import {RefusalCode} from '../refusals/refusal.js';
import {RequestKind} from '../callers/caller-request.js';
import type {
	OwnerResponse, OwnerRequest, Owners, ResolveRequest,
} from '../routing/owner-request.js';
import type {Clock} from '../time/clock.js';
import type {Service} from '../kernel/service.js';
import type {GroupOwner} from './group-owner.js';
import {notifyLeaving} from './notify-leaving.js';
import {createNotRunResponse, createRefusal} from './owner-responses.js';

/** The group owners that run on this host, with what operators and transactions need of them. */
export type OwnersService = Owners & Service & {
	/** Returns the group's owner if it runs on this host. */
	getOwner(group: string): GroupOwner | undefined;
	/** Runs work at the group's owner on this host; resolves with a refusal if this host does not own the group or is leaving. */
	withOwner(group: string, work: (owner: GroupOwner) => Promise<OwnerResponse>): Promise<OwnerResponse>;
	getOwnedGroups(): readonly string[];
	/**
	 * Hands this host's groups over for a planned stop: notifies the next owners, refuses new requests so that they go there,
	 * and resolves once the requests in flight have ended or `boundMs` has passed. Open transactions continue meanwhile.
	 */
	leave(boundMs: number): Promise<void>;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		owners: OwnersService;
	}
}

/** Options of {@link createOwners}. */
export type OwnersOptions = {
	readonly clock: Clock;
	readonly configuration: Configuration;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly peers: Peers;
	readonly log: Log;
	createGroupOwner(group: string): GroupOwner;
	/** Called with the version of a group's configuration that a peer's request carried. */
	onVersionSeen?(group: string, version: number, peerAddress: string): void;
};

/** Time between checks of which groups this host owns, in milliseconds. */
const OWNERSHIP_CHECK_INTERVAL_MS = 500;

/** How long an owner that is no longer in charge of its group waits for its requests to end, in milliseconds. */
const DRAIN_TIMEOUT_MS = 60_000;

/** Time between checks of what is still in flight while this host leaves, in milliseconds. */
const LEAVE_POLL_INTERVAL_MS = 10;

type RunningOwner = {
	readonly owner: GroupOwner;
	inFlight: number;
};

/** Creates the owners of this host. */
export function createOwners(options: OwnersOptions): OwnersService {
	const {
		clock, configuration, hosts, owning,
	} = options;
	const log = options.log.withPrefix('owners: ');
	const running = new Map<string, RunningOwner>();
	const stopping = new AbortController();
	let leaving = false;

	const isOwner = (group: string, now: number) => {
		const cfg = configuration.getGroup(group)?.cfg;
		return cfg !== undefined && owning.getOwners(group, cfg.owners, now).some(({name}) => name === hosts.self.name);
	};

	const drainAndStop = async (group: string, former: RunningOwner) => {
		running.delete(group);
		const until = clock.now() + DRAIN_TIMEOUT_MS;
		while (former.inFlight > 0 && clock.now() < until) {
			await clock.sleep(OWNERSHIP_CHECK_INTERVAL_MS, stopping.signal);
			if (stopping.signal.aborted) {
				break;
			}
		}

		await former.owner.stop();
	};

	const startOwner = (group: string) => {
		const started: RunningOwner = {owner: options.createGroupOwner(group), inFlight: 0};
		running.set(group, started);
		log.info('this host now owns a group', {group});
		void started.owner.start();
		return started;
	};

	const getRunning = (group: string) => {
		const current = running.get(group);
		if (current) {
			return current;
		}

		return isOwner(group, clock.now()) ? startOwner(group) : undefined;
	};

	const checkOwnership = () => {
		const now = clock.now();
		for (const {cfg, deleted} of configuration.getGroups()) {
			if (!deleted && !running.has(cfg.name) && isOwner(cfg.name, now)) {
				startOwner(cfg.name);
			}
		}

		for (const [group, current] of running) {
			current.owner.noteLeaving(now);
			if (!isOwner(group, now)) {
				log.info('this host no longer owns a group', {group});
				void drainAndStop(group, current);
			}
		}
	};

	const runOwnershipChecks = async () => {
		while (!stopping.signal.aborted) {
			// A leaving host keeps its owners for the requests in flight.
			if (!leaving) {
				checkOwnership();
			}

			await clock.sleep(OWNERSHIP_CHECK_INTERVAL_MS, stopping.signal);
		}
	};

	const refuseNotOwner = (group: string) => {
		const known = configuration.getGroup(group);
		return createNotRunResponse(createRefusal(known ? RefusalCode.NoOwner : RefusalCode.NoConfiguration, {
			reason: known ? `host ${hosts.self.name} does not look after group ${group}` : `host ${hosts.self.name} knows no group ${group}`,
			facts: {host: hosts.self.name, configVersion: known?.version},
			retryAfterMs: 100,
		}), true);
	};

	// Guards against starting work on a host that is about to stop and would abort it: the work has not run, and the
	// caller's proxy sends it to another owner at once.
	const refuseLeaving = (group: string) => createNotRunResponse(createRefusal(RefusalCode.HostLeaving, {
		reason: `host ${hosts.self.name} is stopping and has handed group ${group} on`,
		facts: {host: hosts.self.name},
		retryAfterMs: 0,
	}), true);

	const countInFlight = () => [...running.values()].reduce((sum, {inFlight}) => sum + inFlight, 0);

	const withOwner = async (group: string, work: (owner: GroupOwner) => Promise<OwnerResponse>) => {
		if (leaving) {
			return refuseLeaving(group);
		}

		const current = getRunning(group);
		if (!current) {
			return refuseNotOwner(group);
		}

		current.inFlight++;
		try {
			return await work(current.owner);
		} finally {
			current.inFlight--;
		}
	};

	const execute = async (req: OwnerRequest) => withOwner(req.group, async ({reads, writes}) => {
		const deadlineAt = clock.now() + req.remainingMs;
		return req.kind === RequestKind.Read ? reads.read(req, deadlineAt) : writes.write(req, deadlineAt);
	});

	const resolve = async (req: ResolveRequest) => withOwner(req.group, async ({writes}) =>
		writes.resolve(req, clock.now() + req.remainingMs));

	return {
		execute,
		resolve,
		withOwner,
		getOwner: group => running.get(group)?.owner,
		getOwnedGroups: () => [...running.keys()],
		async leave(boundMs) {
			const until = clock.now() + boundMs;
			await notifyLeaving({...options, groups: [...running.keys()]});
			leaving = true;
			hosts.reportLeaving(hosts.self.address, clock.now());
			while (countInFlight() > 0 && clock.now() < until) {
				await clock.sleep(LEAVE_POLL_INTERVAL_MS, stopping.signal);
			}
		},
		async start() {
			options.peers.handle('owner-leaving', async (_req, from) => {
				hosts.reportLeaving(from.address, clock.now());
				return {noted: true};
			});
			options.peers.handle('execute', async (req, from) => {
				options.onVersionSeen?.(req.group, req.configVersion, from.address);
				return execute(req);
			});
			options.peers.handle('resolve', async (req, from) => {
				options.onVersionSeen?.(req.group, req.configVersion, from.address);
				return resolve(req);
			});
			configuration.onChange(group => {
				running.get(group)?.owner.applyConfig();
			});
			void runOwnershipChecks();
		},
		async stop() {
			stopping.abort();
			await Promise.all([...running].map(async ([group, current]) => drainAndStop(group, current)));
		},
	};
}
