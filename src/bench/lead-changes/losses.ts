import type {LeadStage} from './stage.js';

/** A way to lose a primary, or to change it. */
export type LeadLoss = {
	readonly name: string;
	/** Begins the loss; what must come before it comes now as well. */
	begin(stage: LeadStage): Promise<void>;
};

/** A store outage begins so long before the primary crashes, in milliseconds. */
const OUTAGE_BEFORE_MS = 500;

const OUTAGE_MS = 6000;

const crash = ({group, getPrimary}: LeadStage) => {
	group.crash(getPrimary());
};

/** Every way, the plain ones first. */
export const LEAD_LOSSES: readonly LeadLoss[] = [
	{
		name: 'crashed',
		async begin(stage) {
			crash(stage);
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
		async begin(stage) {
			stage.system.kill(stage.system.proxies[0]!);
			crash(stage);
		},
	},
	{
		name: 'crashed, with another host killed at that moment',
		async begin(stage) {
			stage.system.kill(stage.system.proxies[8]!);
			crash(stage);
		},
	},
	{
		name: 'crashed, with one host cut off from the others and the store',
		async begin(stage) {
			const {system} = stage;
			const alone = system.proxies[8]!;
			system.store.setTrouble(alone.name, {silent: true});
			for (const other of system.proxies.slice(0, 8)) {
				system.network.setFaultsBetween(alone.peerAddress, other.peerAddress, {cut: true});
			}

			crash(stage);
		},
	},
	{
		name: 'crashed, 0.5 s into an outage of the store of 6 s',
		async begin(stage) {
			const {system, clock} = stage;
			system.store.setTrouble(undefined, {silent: true});
			void clock.sleep(OUTAGE_MS).then(() => {
				system.store.heal();
			});
			await clock.advance(OUTAGE_BEFORE_MS);
			crash(stage);
		},
	},
];
