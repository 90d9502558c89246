import {createAdmission} from '../admission/create-admission.js';
import {groupKind} from '../audit/audited-kinds.js';
import {createGroupFailover} from '../failover/create-group-failover.js';
import type {Promotion} from '../failover/failover-parts.js';
import {createFailoverPeers} from '../failover/failover-peers.js';
import {DEFAULT_FAILOVER_SETTINGS} from '../failover/failover-settings.js';
import type {GroupFailover, GroupFailoverContext} from '../failover/group-failover.js';
import {createPromotionChange} from '../failover/promotion-change.js';
import type {Kernel} from '../kernel/kernel.js';
import {createGroupOwner, type GroupOwner} from '../owners/group-owner.js';
import {createOwners} from '../owners/create-owners.js';
import {createRequestId} from '../random/request-id.js';
import {createTransactions} from '../transactions/create-transactions.js';
import {getCommonDependencies} from './common-dependencies.js';

/** Registers the services that manage groups on this host: the owners with their failover, and the open transactions. */
export function registerOwners(kernel: Kernel): void {
	const common = getCommonDependencies(kernel);
	const peers = kernel.getOrThrow('peers');
	const owners = createOwners({
		...common,
		configuration: kernel.getOrThrow('configuration'),
		hosts: kernel.getOrThrow('hosts'),
		owning: kernel.getOrThrow('owning'),
		peers,
		createGroupOwner: createGroupOwnerFactory(kernel),
		onVersionSeen(group, version, peerAddress) {
			kernel.getOrThrow('configurationPeers').reconcile(group, version, peerAddress);
		},
	});
	kernel.register('owners', owners);
	kernel.register('transactions', createTransactions({clock: common.clock, owners, peers}));
}

function createGroupOwnerFactory(kernel: Kernel): (group: string) => GroupOwner {
	const common = getCommonDependencies(kernel);
	const {clock, random} = common;
	const configuration = kernel.getOrThrow('configuration');
	const hosts = kernel.getOrThrow('hosts');
	const endpoints = kernel.getOrThrow('endpoints');
	const createFailover = createFailoverFactory(kernel);

	return group => createGroupOwner({
		clock,
		random,
		endpoints,
		getGroup: () => configuration.getGroupOrThrow(group),
		isEndpointLeaving: address => hosts.isEndpointLeaving(address),
		createAdmission: (endpoint, cfg) => createAdmission({
			endpoint: endpoint.name, slots: endpoint.slots, owners: cfg.owners, shares: cfg.classShares, clock,
		}),
		createFailover,
	});
}

function createFailoverFactory(kernel: Kernel): (context: GroupFailoverContext) => GroupFailover {
	const common = getCommonDependencies(kernel);
	const hooks = kernel.get('failoverHooks');
	const settings = {...DEFAULT_FAILOVER_SETTINGS, ...hooks?.settings};
	const failoverPeers = createFailoverPeers({
		peers: kernel.getOrThrow('peers'), endpoints: kernel.getOrThrow('endpoints'), clock: common.clock, settings,
	});

	return context => {
		const failover = createGroupFailover({
			...common,
			context,
			platform: kernel.getOrThrow('platform'),
			failoverPeers,
			hosts: kernel.getOrThrow('hosts'),
			owning: kernel.getOrThrow('owning'),
			settings,
			onPromoted(promotion) {
				hooks?.onPromoted?.(promotion);
				void notePromotion(kernel, promotion);
			},
		});
		return hooks?.wrap?.(failover) ?? failover;
	};
}

/** Records a promotion in the metrics and the audit trail; no caller waits for it. */
async function notePromotion(kernel: Kernel, promotion: Promotion): Promise<void> {
	const {clock, random, log} = getCommonDependencies(kernel);
	const {detectMs, claimMs, fenceMs, promoteMs, learnMs} = promotion.stepDurations;
	kernel.get('metrics')?.observeFailover(promotion.group, (detectMs + claimMs + fenceMs + promoteMs + learnMs) / 1000);
	const response = await kernel.getOrThrow('changes').apply(groupKind, promotion.group, createPromotionChange(promotion), {
		who: `failover ${kernel.getOrThrow('hosts').self.name}`, changeId: createRequestId(clock.wall(), random),
	});
	log.withPrefix('audit: ').info('a promotion was submitted to the audit trail', {group: promotion.group, term: promotion.term, result: response.result});
}
