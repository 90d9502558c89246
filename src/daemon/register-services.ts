import {createConfiguration} from '../configuration/create-configuration.js';
import {createConfigurationPeers} from '../configuration/configuration-peers.js';
import {createConfigurationWatch} from '../configuration/configuration-watch.js';
import type {Kernel} from '../kernel/kernel.js';
import type {Service} from '../kernel/service.js';
import {createHosts} from '../membership/create-hosts.js';
import {createOwning} from '../membership/create-owning.js';
import type {PlatformHost} from '../object-store/platform.js';
import {getCommonDependencies} from './common-dependencies.js';
import {registerEntry} from './register-entry.js';
import {registerChanges, registerOperators} from './register-operators.js';
import {registerOwners} from './register-owners.js';

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		/** The task that reads the configuration from the store; only the kernel uses it, to start and stop it. */
		configurationWatch: Service;
	}
}

/**
 * Registers a proxy's own services, in order of start, on a kernel that holds its dependencies: `clock`, `random`, `log`,
 * `settings`, `platform`, `peers`, `endpoints` and, in a daemon, `metrics`.
 */
export function registerServices(kernel: Kernel): void {
	registerMembership(kernel);
	registerConfiguration(kernel);
	registerChanges(kernel);
	registerOwners(kernel);
	registerEntry(kernel);
	registerOperators(kernel);
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
	const hosts = createHosts({self, ...getCommonDependencies(kernel), platform: kernel.getOrThrow('platform')});
	kernel.register('hosts', hosts);
	kernel.register('owning', createOwning({
		hosts,
		getGroupZones: group => kernel.get('configuration')?.getGroup(group)?.cfg.endpoints.map(endpoint => endpoint.availabilityZone) ?? [],
	}));
}

function registerConfiguration(kernel: Kernel): void {
	const common = getCommonDependencies(kernel);
	const configuration = createConfiguration({log: common.log});
	kernel.register('configuration', configuration);
	kernel.register('configurationWatch', createConfigurationWatch({
		...common, configuration, platform: kernel.getOrThrow('platform'),
	}));
	kernel.register('configurationPeers', createConfigurationPeers({
		...common, configuration, peers: kernel.getOrThrow('peers'), hosts: kernel.getOrThrow('hosts'),
	}));
	configuration.onChange(() => {
		kernel.get('metrics')?.setConfigRevision(configuration.revision);
	});
}
