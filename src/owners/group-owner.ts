import type {Admission} from '../admission/admission.js';
import type {VersionedGroup} from '../configuration/configuration.js';
import {createConnectionPool} from '../endpoints/connection-pool.js';
import {createControlChannel, type ControlChannel} from '../endpoints/control-channel.js';
import type {EndpointConnection, EndpointStatus, Endpoints} from '../endpoints/endpoint.js';
import type {GroupFailover, GroupFailoverContext} from '../failover/group-failover.js';
import {EndpointOrder, type EndpointConfig, type GroupConfig} from '../groups/group-config.js';
import {createGroupKnowledge} from '../groups/create-group-knowledge.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import {createLeavingEndpoints} from '../membership/leaving-endpoints.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {createBarrier} from './barrier.js';
import {createConfirmer} from './confirmer.js';
import {getPoolLimit} from './connection-budget.js';
import {createGroupChanges} from './group-changes.js';
import type {EndpointParts, GroupParts} from './group-parts.js';
import {PredictedPlacement} from './predicted-placement.js';
import {createReadPath, type ReadPath} from './read-path.js';
import {createRunningWork} from './running-work.js';
import {createSilenceWatch} from './silence-watch.js';
import {createWriteGate} from './write-gate.js';
import {createWritePath, type WritePath} from './write-path.js';

/** How long a leaving primary may still be given work while its successor is prepared, in milliseconds. */
const LEAVING_GRACE_MS = 700;

/** Owns one database group on this host: its connections, what is known of its endpoints, and its read and write paths. */
export type GroupOwner = {
	readonly parts: GroupParts;
	readonly reads: ReadPath;
	readonly writes: WritePath;
	/** What failover uses of this owner. */
	readonly failoverContext: GroupFailoverContext;
	start(): Promise<void>;
	/** Stops the owner's tasks and closes its connections. */
	stop(): Promise<void>;
	/** Applies a changed configuration. */
	applyConfig(): void;
	/** Moves the primary's role to another endpoint; rejects with the reason if it cannot. */
	switchTo(endpoint: string, deadlineMs: number): Promise<void>;
	/** Returns whether the operator's order, the platform's host list or the server's own status currently makes it leave. */
	isLeaving(endpoint: EndpointConfig): boolean;
	/** Records which endpoints are leaving, so that a leaving primary's grace period runs without traffic too. */
	noteLeaving(now: number): void;
};

/** Options of {@link createGroupOwner}. */
export type GroupOwnerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly endpoints: Endpoints;
	getGroup(): VersionedGroup;
	/** Returns whether the platform's list marks the host at that address as leaving. */
	isEndpointLeaving(address: string): boolean;
	createAdmission(endpoint: EndpointConfig, cfg: GroupConfig): Admission;
	createFailover(context: GroupFailoverContext): GroupFailover;
};

type OwnedEndpoint = EndpointParts & {
	readonly address: string;
	readonly control: ControlChannel;
	/** Separate from `control`, since a wait for a position occupies its channel for long. */
	readonly waits: ControlChannel;
};

/** Creates the owner of one group; it connects once it is started or first used. */
export function createGroupOwner(options: GroupOwnerOptions): GroupOwner {
	const {clock, random, getGroup} = options;
	const ownedEndpoints = new Map<string, OwnedEndpoint>();
	const changes = createGroupChanges(clock);
	const knowledge = notifyOnChange(createGroupKnowledge({getGroup}), changes.notify);
	const writeGate = createWriteGate(clock);
	const leaving = createLeavingEndpoints(LEAVING_GRACE_MS);
	const running = createRunningWork();
	const createdAt = clock.now();

	const getNames = () => getGroup().cfg.endpoints.map(({name}) => name);

	const onStatus = (endpoint: string, status: EndpointStatus, now: number) => {
		knowledge.observe(endpoint, status, now);
	};

	const onFailure = (endpoint: string, now: number) => {
		knowledge.observeFailure(endpoint, now);
	};

	const open = (endpoint: EndpointConfig, cfg: GroupConfig): OwnedEndpoint => {
		const server = options.endpoints.getEndpoint(endpoint.address);
		return {
			name: endpoint.name,
			address: endpoint.address,
			pool: createConnectionPool({
				endpoint: server,
				limit: getPoolLimit(cfg, endpoint),
				clock,
				random,
				onStatus(status) {
					onStatus(endpoint.name, status, clock.now());
				},
				onFailure() {
					onFailure(endpoint.name, clock.now());
				},
			}),
			admission: options.createAdmission(endpoint, cfg),
			control: createControlChannel(server, clock),
			waits: createControlChannel(server, clock),
		};
	};

	const close = async (endpoint: OwnedEndpoint) => {
		ownedEndpoints.delete(endpoint.name);
		await Promise.all([endpoint.pool.close(), endpoint.control.close(), endpoint.waits.close()]);
	};

	const getOwned = (name: string) => {
		const {cfg} = getGroup();
		const endpoint = cfg.endpoints.find(candidate => candidate.name === name);
		const current = ownedEndpoints.get(name);
		if (!endpoint || current?.address === endpoint.address) {
			return endpoint && current;
		}

		if (current) {
			void close(current);
		}

		const opened = open(endpoint, cfg);
		ownedEndpoints.set(name, opened);
		return opened;
	};

	const getChannel = (name: string, kind: 'control' | 'waits') => getOwned(name)?.[kind] ?? throwUnknownEndpoint(name);

	const confirmer = createConfirmer({
		clock, getEndpoints: getNames, getChannel: name => getChannel(name, 'waits'), onStatus, onFailure,
	});

	const barrier = createBarrier({
		clock,
		getEndpoints: getNames,
		getChannel: name => getChannel(name, 'control'),
		onStatus,
		onFailure,
		onTaken(taken) {
			knowledge.observeConfirmed(taken.floor.position, taken.floor.term, taken.takenAt);
		},
	});

	const failoverContext: GroupFailoverContext = {
		getGroup,
		knowledge,
		control: async <T>(endpoint: string, exchange: (connection: EndpointConnection) => Promise<T>) => getChannel(endpoint, 'control').run(exchange),
		holdWrites: async ms => writeGate.hold(ms),
		// A new owner knows of no earlier work, so its group counts as busy when it is created: failover polls the endpoints at the short interval.
		getIdleMs: now => Math.min(now - createdAt, running.getIdleMs(now)),
	};
	const failover = options.createFailover(failoverContext);

	const silence = createSilenceWatch({
		clock,
		knowledge,
		onSilent(endpoint, now) {
			failover.suspect(endpoint, now);
		},
	});

	// Guards against new work on an endpoint that is about to stop: the operator's order, the platform's list and
	// the server's own status each suffice, so that the loss of one of the three signals does not matter.
	const isLeavingNow = ({name}: EndpointConfig) => {
		// A request that was queued still holds the configuration from before the order.
		const endpoint = getGroup().cfg.endpoints.find(current => current.name === name);
		return endpoint?.order !== EndpointOrder.Serve
			|| options.isEndpointLeaving(endpoint.address)
			|| knowledge.get(name)?.status?.leaving === true;
	};

	const noteEndpoint = (endpoint: EndpointConfig, now: number) => {
		const isLeaving = isLeavingNow(endpoint);
		// Until the server has reported a status, whether it calls itself leaving is unknown.
		if (isLeaving || knowledge.get(endpoint.name)?.status) {
			leaving.note(endpoint.name, isLeaving, now);
		}

		return isLeaving;
	};

	const noteLeaving = (now: number) => {
		for (const endpoint of getGroup().cfg.endpoints) {
			noteEndpoint(endpoint, now);
		}
	};

	const parts: GroupParts = {
		clock,
		knowledge,
		confirmer,
		barrier,
		writeGate,
		running,
		silence,
		getGroup,
		getParts: getOwned,
		mayTakeWork(endpoint, now) {
			return !noteEndpoint(endpoint, now) || (knowledge.getPrimary()?.name === endpoint.name && !leaving.isGraceOver(endpoint.name, now));
		},
		suspect(endpoint, now) {
			knowledge.observeFailure(endpoint, now);
			failover.suspect(endpoint, now);
		},
		waitForChange: changes.waitFor,
		onChange: changes.on,
	};

	return {
		parts,
		reads: createReadPath(parts, new PredictedPlacement(random)),
		writes: createWritePath(parts),
		failoverContext,
		async start() {
			await failover.start();
		},
		async stop() {
			await failover.stop();
			confirmer.stop();
			silence.stop();
			barrier.stop();
			await Promise.all([...ownedEndpoints.values()].map(async endpoint => close(endpoint)));
		},
		noteLeaving,
		isLeaving: isLeavingNow,
		switchTo: async (endpoint, deadlineMs) => failover.switchTo(endpoint, deadlineMs),
		applyConfig() {
			const {cfg} = getGroup();
			for (const endpoint of ownedEndpoints.values()) {
				const current = cfg.endpoints.find(({name}) => name === endpoint.name);
				if (current) {
					endpoint.pool.setLimit(getPoolLimit(cfg, current));
				} else {
					void close(endpoint);
				}
			}

			noteLeaving(clock.now());
			changes.notify();
		},
	};
}

/** Calls `notify` after every observation that changed the highest term or the primary. */
function notifyOnChange(knowledge: GroupKnowledge, notify: () => void): GroupKnowledge {
	return {
		...knowledge,
		get highestTerm() {
			return knowledge.highestTerm;
		},
		observe(endpoint, status, now) {
			const before = knowledge.getPrimary()?.name;
			const term = knowledge.highestTerm;
			knowledge.observe(endpoint, status, now);
			if (knowledge.highestTerm !== term || knowledge.getPrimary()?.name !== before) {
				notify();
			}
		},
	};
}

function throwUnknownEndpoint(name: string): never {
	throw new Error(`the group has no endpoint "${name}"`);
}
