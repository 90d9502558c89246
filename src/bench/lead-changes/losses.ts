import type {PrimaryLossTestbed} from './testbed.js';

/** A scenario in which a group loses its primary, or its primary has to be replaced. */
export type PrimaryLossScenario = {
	readonly name: string;
	/** Causes the loss, after the faults that precede it, and resolves once it has happened. */
	begin(testbed: PrimaryLossTestbed): Promise<void>;
};

/** Time from the start of a store outage to the crash of the primary, in milliseconds. */
const OUTAGE_BEFORE_CRASH_MS = 500;

const OUTAGE_MS = 6000;

const crash = ({group, getPrimary}: PrimaryLossTestbed) => {
	group.crash(getPrimary());
};

/** All scenarios: first those with a single fault, then those with several. */
export const PRIMARY_LOSS_SCENARIOS: readonly PrimaryLossScenario[] = [
	{
		name: 'crashed',
		async begin(testbed) {
			crash(testbed);
		},
	},
	{
		name: 'dark',
		async begin({system, getPrimary}) {
			const primary = getPrimary();
			primary.cutFromGroup = true;
			for (const proxy of system.proxies) {
				proxy.cutFrom.add(primary.id);
			}
		},
	},
	{
		name: 'cut off from seven of nine proxies',
		async begin({system, getPrimary}) {
			const {id} = getPrimary();
			for (const proxy of system.proxies.slice(2)) {
				proxy.cutFrom.add(id);
			}
		},
	},
	{
		name: 'leaving',
		async begin({system, getPrimary}) {
			getPrimary().leaving = true;
			system.registerEndpoints();
		},
	},
	{
		name: 'crashed, with the host that reads for all killed at that moment',
		async begin(testbed) {
			testbed.system.kill(testbed.system.proxies[0]!);
			crash(testbed);
		},
	},
	{
		name: 'crashed, with another host killed at that moment',
		async begin(testbed) {
			testbed.system.kill(testbed.system.proxies[8]!);
			crash(testbed);
		},
	},
	{
		name: 'crashed, with one host cut off from the others and the store',
		async begin(testbed) {
			const {system} = testbed;
			const isolated = system.proxies[8]!;
			system.store.setFaults(isolated.name, {silent: true});
			for (const other of system.proxies.slice(0, 8)) {
				system.network.setFaultsBetween(isolated.peerAddress, other.peerAddress, {cut: true});
			}

			crash(testbed);
		},
	},
	{
		name: 'crashed, 0.5 s into an outage of the store of 6 s',
		async begin(testbed) {
			const {system, clock} = testbed;
			system.store.setFaults(undefined, {silent: true});
			void clock.sleep(OUTAGE_MS).then(() => {
				system.store.heal();
			});
			await clock.advance(OUTAGE_BEFORE_CRASH_MS);
			crash(testbed);
		},
	},
];
