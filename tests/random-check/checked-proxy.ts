import type {Admission} from '../../src/admission/admission.js';
import type {Entry} from '../../src/callers/entry.js';
import type {Configuration} from '../../src/configuration/configuration.js';
import type {Endpoints} from '../../src/endpoints/endpoint.js';
import {DEFAULT_FAILOVER_SETTINGS} from '../../src/failover/failover-settings.js';
import {createGroupControl, type GroupControl} from '../../src/failover/group-control.js';
import {fenceAndPromote} from '../../src/failover/fence-and-promote.js';
import {createGroupRepair} from '../../src/failover/repair-group.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {Hosts, Owning} from '../../src/membership/hosts.js';
import {createOwners, type OwnersService} from '../../src/owners/create-owners.js';
import {createGroupOwner, type GroupOwner} from '../../src/owners/group-owner.js';
import type {Peers} from '../../src/peers/peers.js';
import type {PlatformHost} from '../../src/object-store/platform.js';
import type {Random} from '../../src/random/random.js';
import {createRetries} from '../../src/retries/create-retries.js';
import {createRequestReceiver} from '../../src/routing/received-request.js';
import {createEntry} from '../../src/routing/create-entry.js';
import {createEntryAnswers} from '../../src/routing/entry-answers.js';
import {createOwnerClient} from '../../src/routing/owner-client.js';
import {createRequestTries} from '../../src/routing/request-tries.js';
import {createSignedSessions} from '../../src/sessions/signed-sessions.js';
import type {PausableClock} from '../failover/pausable-clock.js';
import type {GuardBreak} from './guard-breaks.js';

/** The request path and the promotions of one proxy, without sockets, the platform and background tasks. */
export type CheckedProxy = {
	readonly host: PlatformHost;
	readonly clock: PausableClock;
	readonly owners: OwnersService;
	readonly owner: GroupOwner;
	readonly entry: Pick<Entry, 'execute' | 'resolveOutcome'>;
	/** Requests the status of every server. */
	checkStatuses(): Promise<void>;
	/** Promotes a primary at the term after the highest one seen. Resolves to whether it succeeded. */
	promote(): Promise<boolean>;
	/** Requests all statuses, and orders servers that follow no primary to follow the current one. */
	repair(): Promise<void>;
};

/** Options of {@link createCheckedProxy}. */
export type CheckedProxyOptions = {
	readonly group: string;
	readonly host: PlatformHost;
	readonly clock: PausableClock;
	readonly random: Random;
	readonly configuration: Configuration;
	readonly endpoints: Endpoints;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly peers: Peers;
	readonly guardBreak?: GuardBreak;
};

const SIGNING_KEY = 'a signing key for the random check';
const STATUS_TIMEOUT_MS = 300;

/** Creates a proxy that has no status of any server yet. */
export function createCheckedProxy(options: CheckedProxyOptions): CheckedProxy {
	const {
		group, host, clock, random, configuration, hosts, owning, peers, guardBreak,
	} = options;
	const log = createSilentLog();
	const common = {
		clock, random, configuration, hosts, owning, peers, log,
	};
	const getCfg = () => configuration.getGroupOrThrow(group).cfg;

	const owner = createGroupOwner({
		...common,
		endpoints: guardBreak?.breakEndpoints?.(options.endpoints, clock) ?? options.endpoints,
		getGroup: () => configuration.getGroupOrThrow(group),
		isEndpointLeaving: () => false,
		createAdmission: () => createOpenAdmission(),
		createFailover: () => ({
			async start() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			async stop() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			suspect() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			async switchTo() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		}),
	});
	Object.assign(owner.parts, guardBreak?.breakParts?.(owner.parts, {clock, endpoints: options.endpoints}));
	const {knowledge} = owner.parts;

	const owners = createOwners({...common, createGroupOwner: () => owner});
	const sessions = createSignedSessions({keys: [SIGNING_KEY], random});
	const retries = createRetries();
	const ownerClient = createOwnerClient({...common, owners, transactions: noTransactions});
	const tries = createRequestTries({...common, ownerClient, retries});
	const receiver = createRequestReceiver({...common, sessions});
	const entry = createEntry({
		receiver: guardBreak?.breakReceiver?.(receiver) ?? receiver,
		answers: createEntryAnswers({
			...common, sessions, explanations: {record: () => '', openTicket: () => undefined, find: async () => []},
		}),
		tries: guardBreak?.breakTries?.(tries) ?? tries,
		ownerClient,
		retries,
	});

	const control: GroupControl = createGroupControl({clock, context: owner.failoverContext});
	const settings = DEFAULT_FAILOVER_SETTINGS;
	const repair = createGroupRepair({
		clock, control, knowledge, settings, log, getCfg,
	});

	const checkStatuses = async () => {
		await Promise.allSettled(getCfg().endpoints.map(async ({name}) => control.status(name, STATUS_TIMEOUT_MS)));
	};

	return {
		host,
		clock,
		owners,
		owner,
		entry,
		checkStatuses,
		async promote() {
			const promoted = await fenceAndPromote({
				clock,
				control: guardBreak?.breakControl?.(control) ?? control,
				cfg: getCfg(),
				settings,
				term: knowledge.highestTerm + 1,
				isHostLeaving: () => false,
			}).catch(() => undefined);
			return promoted !== undefined;
		},
		async repair() {
			await checkStatuses();
			await repair.run(0);
		},
	};
}

/** Creates an admission that accepts every request, since queues are tested elsewhere. */
function createOpenAdmission(): Admission {
	return {
		acquire: async () => ({admitted: true, queuedMs: 0, release() {}}), // eslint-disable-line @typescript-eslint/no-empty-function
		getPredictedWaitMs: () => 0,
		getLoad: () => ({
			running: 0, limit: 1, queued: {deadline: 0, interactive: 0, background: 0}, serviceMs: 1,
		}),
		close() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	};
}

const throwNoTransactions = async (): Promise<never> => {
	throw new Error('the random check has no transactions');
};

const noTransactions = {
	begin: throwNoTransactions, run: throwNoTransactions, commit: throwNoTransactions, rollback: throwNoTransactions,
};
