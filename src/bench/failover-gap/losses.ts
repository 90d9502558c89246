import type {DatabaseServer} from '../../stand-ins/database/database-server.js';
import {Outage} from '../../stand-ins/platform/platform-faults.js';
import type {SimulatedProxy, SimulatedSystem} from '../../stand-ins/system/simulated-system.js';
import type {FilingStream} from './filings.js';

/** The parts of a system on which a loss acts. */
export type LossTargets = {
	readonly system: SimulatedSystem;
	readonly primary: DatabaseServer;
	readonly replicas: readonly DatabaseServer[];
	/** The group's first-ranked owner. */
	readonly owner: SimulatedProxy;
	readonly stream: FilingStream;
};

/** A scenario in which the primary is lost. */
export type LossScenario = {
	readonly name: string;
	apply(targets: LossTargets): void | Promise<void>;
};

const FLAP_COUNT = 5;
const FLAP_DOWN_MS = 500;
const FLAP_UP_MS = 300;

/** All scenarios that are measured. */
export const LOSS_SCENARIOS: readonly LossScenario[] = [
	{
		name: 'killed',
		apply({primary}) {
			primary.kill();
		},
	},
	{
		name: 'cut off from all',
		apply({primary}) {
			primary.faults.cut();
		},
	},
	{
		name: 'cut off from its group only',
		apply({primary, replicas}) {
			primary.faults.cut(replicas.map(({address}) => address));
		},
	},
	{
		name: 'frozen',
		apply({primary}) {
			primary.faults.freeze();
		},
	},
	{
		name: 'frozen, first owner paused',
		apply(targets) {
			targets.primary.faults.freeze();
			pauseFirstOwner(targets);
		},
	},
	{
		name: 'frozen, first owner dead',
		apply({primary, owner, system, stream}) {
			primary.faults.freeze();
			stream.exclude(owner.name);
			system.kill(owner.name);
		},
	},
	{
		name: 'flapping',
		async apply({primary, system}) {
			for (let flap = 0; flap < FLAP_COUNT; flap++) {
				primary.faults.cut();
				await system.clock.advance(FLAP_DOWN_MS);
				primary.faults.heal();
				await system.clock.advance(FLAP_UP_MS);
			}
		},
	},
];

/** Holds back everything that the first-ranked owner sends or receives, as if its process were paused; its callers use other entries. */
function pauseFirstOwner({system, owner, primary, replicas, stream}: LossTargets): void {
	stream.exclude(owner.name);
	system.network.pause(owner.address);
	for (const {address} of [primary, ...replicas]) {
		owner.endpoints.getLink(address).cut();
	}

	owner.platform.faultInjector.faults.outage = Outage.Silent;
}

/** Ends the faults of any scenario, except that a killed owner stays down and the platform stays silent for an owner that was paused. */
export function healAll({system, owner, primary, replicas}: LossTargets): void {
	primary.faults.thaw();
	primary.restart();
	primary.faults.heal();
	system.network.resume(owner.address);
	for (const {address} of [primary, ...replicas]) {
		owner.endpoints.getLink(address).heal();
	}
}

/** States of the platform's store during a loss. */
export const PLATFORM_STATES = {
	up() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	slow(system: SimulatedSystem) {
		system.platformGate.faults.answerDelayMs = 2000;
	},
	silent(system: SimulatedSystem) {
		system.platformGate.faults.outage = Outage.Silent;
	},
} as const;

/** A state in {@link PLATFORM_STATES}. */
export type PlatformState = keyof typeof PLATFORM_STATES;
