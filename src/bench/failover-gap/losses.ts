import type {DatabaseServer} from '../../stand-ins/database/database-server.js';
import {Outage} from '../../stand-ins/platform/platform-faults.js';
import type {SimulatedProxy, SimulatedSystem} from '../../stand-ins/system/simulated-system.js';
import type {FilingStream} from './filings.js';

/** What a loss acts on. */
export type LossScene = {
	readonly system: SimulatedSystem;
	readonly primary: DatabaseServer;
	readonly replicas: readonly DatabaseServer[];
	/** The group's first-ranked owner. */
	readonly owner: SimulatedProxy;
	readonly stream: FilingStream;
};

/** A way to lose the primary. */
export type LossPlan = {
	readonly name: string;
	apply(scene: LossScene): void | Promise<void>;
};

const FLAPS = 5;
const CUT_MS = 500;
const HEALED_MS = 300;

/** Every way that is measured. */
export const LOSSES: readonly LossPlan[] = [
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
		apply(scene) {
			scene.primary.faults.freeze();
			pauseOwner(scene);
		},
	},
	{
		name: 'frozen, first owner dead',
		apply({primary, owner, system, stream}) {
			primary.faults.freeze();
			stream.leaveOut(owner.name);
			system.kill(owner.name);
		},
	},
	{
		name: 'flapping',
		async apply({primary, system}) {
			for (let flap = 0; flap < FLAPS; flap++) {
				primary.faults.cut();
				await system.clock.advance(CUT_MS);
				primary.faults.heal();
				await system.clock.advance(HEALED_MS);
			}
		},
	},
];

/** Whatever a paused process sends or is sent waits; its callers go elsewhere. */
function pauseOwner({system, owner, primary, replicas, stream}: LossScene): void {
	stream.leaveOut(owner.name);
	system.network.pause(owner.address);
	for (const {address} of [primary, ...replicas]) {
		owner.endpoints.getLink(address).cut();
	}

	owner.platform.gate.faults.outage = Outage.Silent;
}

/** Ends what any loss began. */
export function healAll({system, owner, primary, replicas}: LossScene): void {
	primary.faults.thaw();
	primary.restart();
	primary.faults.heal();
	system.network.resume(owner.address);
	for (const {address} of [primary, ...replicas]) {
		owner.endpoints.getLink(address).heal();
	}
}

/** States of the platform during a loss. */
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
