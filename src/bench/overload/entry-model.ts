import type {Random} from '../../random/random.js';
import type {Retries} from '../../retries/create-retries.js';
import type {VirtualSchedule} from '../virtual-schedule.js';
import type {ModelService} from './request-model.js';

/** Dependencies and settings of an entry model. */
export type EntryModelOptions = {
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	readonly owners: readonly ModelService[];
	readonly retries: Retries;
	/** Name of the group's retry budget. */
	readonly group: string;
	/** Called before each try. */
	onTry(): void;
};

/** Creates an entry that sends each request to a random owner and retries by the product's policy. */
export function createEntryModel(options: EntryModelOptions): ModelService {
	const {schedule, random, owners, retries, group} = options;

	return {
		async execute(req) {
			retries.noteFresh(group, schedule.now());
			for (let tries = 1; ; tries++) {
				options.onTry();
				const owner = owners[Math.floor(random.fraction() * owners.length)]!;
				const response = await owner.execute(req);
				if (response.done) {
					return response;
				}

				const next = retries.decide({
					group,
					failed: {
						provedNotRun: response.provedNotRun, isRead: req.isRead, hasKey: true,
						code: response.code, retryAfterMs: response.retryAfterMs, otherOwnerLeft: false,
					},
					tries,
					deadlineAt: req.deadlineAt,
					fraction: random.fraction(),
				}, schedule.now());
				if (!next.retry) {
					return {...response, retryAfterMs: next.retryAfterMs};
				}

				await schedule.sleep(next.delayMs);
			}
		},
	};
}
