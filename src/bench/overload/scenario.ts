import type {Random} from '../../random/random.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {createRetries, type Retries} from '../../retries/create-retries.js';
import {createVirtualSchedule, type VirtualSchedule} from '../virtual-schedule.js';
import {createCallerModel, type CallerKind, type CallerOutcome} from './caller-model.js';
import {createEntryModel} from './entry-model.js';
import {createOwnerModel} from './owner-model.js';
import type {Policy} from './policies.js';
import {createServerModel, type ServerModel} from './server-model.js';
import {
	drawClass, drawGapMs, getCapacity, type Mix,
} from './traffic.js';

/** Settings of one run, with callers, an entry, owners and a server for each group. */
export type Scenario = {
	readonly seed: number;
	readonly policy: Policy;
	readonly callers: CallerKind;
	readonly mix: Mix;
	readonly slots: number;
	/** How many owners share each server. */
	readonly owners: number;
	/** How many of the owners receive requests; default all. */
	readonly activeOwners?: number;
	readonly groups: readonly GroupPlan[];
	/** Whether all groups share one retry budget. */
	readonly hasSharedBudget?: boolean;
	/** How long callers send requests, in milliseconds. */
	readonly lengthMs: number;
};

/** The load and the faults of one group. */
export type GroupPlan = {
	/** Returns the rate of fresh requests at that time, as a multiple of the server's capacity. */
	getLoad(at: number): number;
	/** Faults of the server. */
	readonly faults: readonly Fault[];
};

/** A change to a server at a set time. */
export type Fault = {
	readonly at: number;
	apply(server: ServerModel): void;
};

/** Outcomes of one group's requests. */
export type GroupOutcome = {
	readonly outcomes: readonly CallerOutcome[];
	/** Fresh requests and retries that reached an owner. */
	readonly tries: number;
};

const ROUND_TRIP_MS = 2;

/** Time after the last request in which outstanding requests may end. */
const DRAIN_MS = 30_000;

/** Budget floor that no run exhausts, in retries a second. */
const UNLIMITED_RETRIES = 1e6;

/** Poll interval of the load while it is zero, in milliseconds. */
const IDLE_POLL_MS = 100;

/** Runs a scenario in virtual time and returns the outcomes of each group's requests. */
export async function runScenario(scenario: Scenario): Promise<readonly GroupOutcome[]> {
	const schedule = createVirtualSchedule();
	const random = createSeededRandom(scenario.seed);
	const retries = createRetries(scenario.policy.hasRetryBudget ? {} : {floorPerSecond: UNLIMITED_RETRIES});
	const groups = scenario.groups.map((plan, i) => startGroup({
		scenario, plan, schedule, random, retries, budgetName: scenario.hasSharedBudget ? 'all' : `group-${i}`,
	}));
	await schedule.runUntil(scenario.lengthMs + DRAIN_MS);
	return groups;
}

type GroupOptions = {
	readonly scenario: Scenario;
	readonly plan: GroupPlan;
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	readonly retries: Retries;
	readonly budgetName: string;
};

function startGroup(options: GroupOptions): GroupOutcome {
	const {
		scenario, plan, schedule, random, retries, budgetName,
	} = options;
	const {policy, mix, slots} = scenario;
	const outcome = {outcomes: [] as CallerOutcome[], tries: 0};
	const server = createServerModel(schedule, slots, ROUND_TRIP_MS);
	const owners = Array.from({length: scenario.activeOwners ?? scenario.owners}, () => createOwnerModel({
		schedule, server, givesUp: policy.givesUp, admission: policy.createAdmission({slots, owners: scenario.owners, clock: schedule}),
	}));
	const entry = createEntryModel({
		schedule,
		random,
		owners,
		retries,
		group: budgetName,
		onTry() {
			outcome.tries++;
		},
	});
	const call = createCallerModel({
		schedule, random, mix, kind: scenario.callers, entry,
	});

	for (const fault of plan.faults) {
		schedule.at(fault.at, () => {
			fault.apply(server);
		});
	}

	const generateArrivals = async () => {
		while (schedule.now() < scenario.lengthMs) {
			const perSecond = plan.getLoad(schedule.now()) * getCapacity(mix, slots);
			if (perSecond <= 0) {
				await schedule.sleep(IDLE_POLL_MS);
				continue;
			}

			await schedule.sleep(drawGapMs(perSecond, random));
			void call(drawClass(mix, random)).then(result => {
				outcome.outcomes.push(result);
			});
		}
	};

	void generateArrivals();
	return outcome;
}
