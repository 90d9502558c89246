import {groupKind, type GroupState} from '../audit/audited-kinds.js';
import {createAuditTrail} from '../audit/audit-trail.js';
import {createChangeApplier, type ChangeApplier} from '../audit/create-change-applier.js';
import {checkStoredGroup} from '../configuration/group-entry.js';
import type {ExplanationsService} from '../explanations/create-explanations.js';
import type {Kernel} from '../kernel/kernel.js';
import {createFleetView} from '../operators/create-fleet-view.js';
import {createOperatorAccess} from '../operators/create-operator-access.js';
import {createOperatorCommands} from '../operators/create-operator-commands.js';
import {ObjectKind} from '../object-store/platform.js';
import {getCommonDependencies} from './common-dependencies.js';

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		changes: ChangeApplier;
	}
}

/**
 * Registers the service that writes changes to the platform. Every group that it reads or writes is offered to the configuration, from where an accepted
 * change reaches the peers, even when every watch is dead.
 */
export function registerChanges(kernel: Kernel): void {
	const configuration = kernel.getOrThrow('configuration');
	kernel.register('changes', createChangeApplier({
		...getCommonDependencies(kernel),
		platform: kernel.getOrThrow('platform'),
		onSeen(object) {
			const {entry} = object.kind === ObjectKind.Group ? checkStoredGroup(object) : {};
			if (entry) {
				configuration.offer(object.name, entry);
			}
		},
	}));
}

/** Registers the services for operators: access control, the view of the fleet and the commands. */
export function registerOperators(kernel: Kernel): void {
	const common = getCommonDependencies(kernel);
	const platform = kernel.getOrThrow('platform');
	const configuration = kernel.getOrThrow('configuration');
	const {bootstrapTokenHash} = kernel.getOrThrow('settings');
	const fleet = createFleetView({
		clock: common.clock,
		configuration,
		hosts: kernel.getOrThrow('hosts'),
		owning: kernel.getOrThrow('owning'),
		owners: kernel.getOrThrow('owners'),
		peers: kernel.getOrThrow('peers'),
		recentSessions: kernel.getOrThrow('recentSessions'),
	});
	const access = createOperatorAccess({...common, platform, bootstrapTokenHash: bootstrapTokenHash === '' ? undefined : bootstrapTokenHash});
	kernel.register('fleetView', fleet);
	kernel.register('operatorAccess', access);
	kernel.register('operatorCommands', createOperatorCommands({
		...common,
		access,
		configuration,
		fleet,
		changes: kernel.getOrThrow('changes'),
		trail: createAuditTrail({platform}),
		explanations: kernel.getOrThrow('explanations') as ExplanationsService,
	}));
}
