import type {LocalSystem} from '../stand-ins/processes/local-system.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {Balancer} from './balancer.js';
import type {DemoOperator} from './operator.js';
import type {Promises} from './promises.js';
import type {Story} from './story.js';

/** What every chapter works with. */
export type Demo = {
	readonly system: LocalSystem;
	readonly clock: Clock;
	readonly random: Random;
	readonly balancer: Balancer;
	readonly story: Story;
	readonly promises: Promises;
	/** Two operators who may change things. */
	readonly dana: DemoOperator;
	readonly iva: DemoOperator;
};

/** One part of the story. */
export type Chapter = {
	readonly title: string;
	/** Why it matters, and to whom. */
	readonly why: string;
	tell(demo: Demo): Promise<void>;
};

/** Granite Loop's group. */
export const SLEEP_LOGS = 'sleep-logs';

/** The Bureau's group. */
export const FILINGS = 'filings';
