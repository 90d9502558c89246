import {createAdmission} from '../admission/create-admission.js';
import {createConfiguration, type ConfigurationState} from '../configuration/create-configuration.js';
import {createConfigurationPeers} from '../configuration/configuration-peers.js';
import {createConfigurationWatch} from '../configuration/configuration-watch.js';
import {createExplanations} from '../explanations/create-explanations.js';
import {createFailoverPeers} from '../failover/failover-peers.js';
import {createGroupFailover} from '../failover/create-group-failover.js';
import {DEFAULT_FAILOVER_SETTINGS} from '../failover/failover-settings.js';
import type {Kernel} from '../kernel/kernel.js';
import type {Service} from '../kernel/service.js';
import {createHosts} from '../membership/create-hosts.js';
import {createOwning} from '../membership/create-owning.js';
import {createGroupOwner, type GroupOwner} from '../owners/group-owner.js';
import {createOwners} from '../owners/create-owners.js';
import type {PlatformHost} from '../platform/platform.js';
import {createRetryBudgets} from '../retries/retry-budgets.js';
import {createAsker} from '../routing/asked-request.js';
import {createEntry} from '../routing/create-entry.js';
import {createEntryAnswers} from '../routing/entry-answers.js';
import {createOwnerClient} from '../routing/owner-client.js';
import {createRequestTries} from '../routing/request-tries.js';
import {createSignedSessions} from '../sessions/signed-sessions.js';
import {createTransactionEntry} from '../transactions/create-transaction-entry.js';
import {createTransactions} from '../transactions/create-transactions.js';

/** Services that other ones reach only through the kernel's life cycle. */
declare module '../kernel/service-map.js' {
	interface ServiceMap {
		configurationState: ConfigurationState;
		configurationWatch: Service;
	}
}

/**
 * Registers the inside of a proxy, in order of start, on a kernel that holds its outside: `clock`, `random`, `log`,
 * `settings`, `metrics`, `platform`, `peers` and `endpoints`.
 */
export function registerServices(kernel: Kernel): void {
	registerMembership(kernel);
	registerConfiguration(kernel);
	registerOwners(kernel);
	registerEntry(kernel);
}

function registerMembership(kernel: Kernel): void {
	const settings = kernel.getOrThrow('settings');
	const self: PlatformHost = {
		name: settings.hostName,
		role: 'proxy',
		address: `${settings.hostAddress}:${settings.peerPort}`,
		availabilityZone: settings.availabilityZone,
		state: 'live',
	};
	const hosts = createHosts({self, ...getCommon(kernel), platform: kernel.getOrThrow('platform')});
	kernel.register('hosts', hosts);
	kernel.register('owning', createOwning({
		hosts,
		getGroupZones: group => kernel.get('configuration')?.getGroup(group)?.cfg.endpoints.map(endpoint => endpoint.availabilityZone) ?? [],
	}));
}

function registerConfiguration(kernel: Kernel): void {
	const common = getCommon(kernel);
	const configuration = createConfiguration({log: common.log});
	kernel.register('configuration', configuration);
	kernel.register('configurationWatch', createConfigurationWatch({
		...common, configuration, platform: kernel.getOrThrow('platform'),
	}));
	kernel.register('configurationPeers', createConfigurationPeers({
		...common, configuration, peers: kernel.getOrThrow('peers'), hosts: kernel.getOrThrow('hosts'),
	}));
}

function registerOwners(kernel: Kernel): void {
	const common = getCommon(kernel);
	const peers = kernel.getOrThrow('peers');
	const owners = createOwners({
		...common,
		configuration: kernel.getOrThrow('configuration'),
		hosts: kernel.getOrThrow('hosts'),
		owning: kernel.getOrThrow('owning'),
		peers,
		createGroupOwner: createGroupOwnerFactory(kernel),
	});
	kernel.register('owners', owners);
	kernel.register('transactions', createTransactions({clock: common.clock, owners, peers}));
}

function createGroupOwnerFactory(kernel: Kernel): (group: string) => GroupOwner {
	const common = getCommon(kernel);
	const {clock, random} = common;
	const configuration = kernel.getOrThrow('configuration');
	const hosts = kernel.getOrThrow('hosts');
	const endpoints = kernel.getOrThrow('endpoints');
	const failoverPeers = createFailoverPeers({
		peers: kernel.getOrThrow('peers'), endpoints, clock, settings: DEFAULT_FAILOVER_SETTINGS,
	});

	return group => createGroupOwner({
		clock,
		random,
		endpoints,
		getGroup: () => configuration.getGroupOrThrow(group),
		isEndpointLeaving: address => hosts.isEndpointLeaving(address),
		createAdmission: (endpoint, cfg) => createAdmission({
			endpoint: endpoint.name, slots: endpoint.slots, shares: cfg.classShares, clock, random,
		}),
		createFailover: context => createGroupFailover({
			...common,
			context,
			platform: kernel.getOrThrow('platform'),
			failoverPeers,
			hosts,
			owning: kernel.getOrThrow('owning'),
			settings: DEFAULT_FAILOVER_SETTINGS,
		}),
	});
}

function registerEntry(kernel: Kernel): void {
	const common = getCommon(kernel);
	const settings = kernel.getOrThrow('settings');
	const hosts = kernel.getOrThrow('hosts');
	const owning = kernel.getOrThrow('owning');
	const peers = kernel.getOrThrow('peers');
	const owners = kernel.getOrThrow('owners');
	const transactions = kernel.getOrThrow('transactions');
	const sessions = createSignedSessions({keys: settings.signingKeys, random: common.random});
	const explanations = createExplanations({
		...common, platform: kernel.getOrThrow('platform'), peers, hosts, signingKeys: settings.signingKeys,
	});
	const ownerClient = createOwnerClient({
		clock: common.clock, hosts, peers, owners, transactions,
	});
	const retryBudgets = createRetryBudgets();
	const asker = createAsker({...common, configuration: kernel.getOrThrow('configuration'), sessions});
	const answers = createEntryAnswers({
		...common, hosts, sessions, explanations,
	});
	const tries = createRequestTries({
		...common, hosts, owning, ownerClient, retryBudgets,
	});
	kernel.register('sessions', sessions);
	kernel.register('explanations', explanations);
	kernel.register('entry', {
		...createEntry({
			asker, answers, tries, ownerClient, retryBudgets,
		}),
		...createTransactionEntry({
			asker, answers, tries, ownerClient, hosts,
		}),
	});
}

function getCommon(kernel: Kernel) {
	return {
		clock: kernel.getOrThrow('clock'),
		random: kernel.getOrThrow('random'),
		log: kernel.getOrThrow('log'),
	};
}
