import type {LocalSystem} from '../stand-ins/processes/local-system.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {Balancer} from './balancer.js';
import type {DemoOperator} from './operator.js';
import type {Guarantees} from './guarantees.js';
import type {DemoOutput} from './demo-output.js';

/** The system, the people and the output that every scenario uses. */
export type Demo = {
	readonly system: LocalSystem;
	readonly clock: Clock;
	readonly random: Random;
	readonly balancer: Balancer;
	readonly output: DemoOutput;
	readonly guarantees: Guarantees;
	/** Two operators who may change the configuration. */
	readonly dana: DemoOperator;
	readonly iva: DemoOperator;
};

/** One scenario of the demo. */
export type Scenario = {
	readonly title: string;
	/** Why the scenario matters, and to whom. */
	readonly why: string;
	run(demo: Demo): Promise<void>;
};

/** Name of Granite Loop's group. */
export const SLEEP_LOGS = 'sleep-logs';

/** Name of the Bureau's group. */
export const FILINGS = 'filings';
