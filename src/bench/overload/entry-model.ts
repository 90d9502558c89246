import type {Random} from '../../random/random.js';
import type {Retries} from '../../retries/create-retries.js';
import type {VirtualSchedule} from '../virtual-schedule.js';
import type {ModelService} from './request-model.js';

/** What an entry's model is made of. */
export type EntryModelOptions = {
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	readonly owners: readonly ModelService[];
	readonly retries: Retries;
	/** Name under which the group's retry budget is kept. */
	readonly group: string;
	/** Called for each try. */
	onTry(): void;
};

/** Creates an entry that sends each request to one of the owners and retries by the product's policy. */
export function createEntryModel(options: EntryModelOptions): ModelService {
	const {schedule, random, owners, retries, group} = options;

	return {
		async execute(req) {
			retries.noteFresh(group, schedule.now());
			for (let tries = 1; ; tries++) {
				options.onTry();
				const owner = owners[Math.floor(random.fraction() * owners.length)]!;
				const answer = await owner.execute(req);
				if (answer.done) {
					return answer;
				}

				const next = retries.decide({
					group,
					failed: {
						provedNotRun: answer.provedNotRun, isRead: req.isRead, hasKey: true,
						code: answer.code, retryAfterMs: answer.retryAfterMs, otherOwnerLeft: false,
					},
					tries,
					deadlineAt: req.deadlineAt,
					fraction: random.fraction(),
				}, schedule.now());
				if (!next.retry) {
					return {...answer, retryAfterMs: next.retryAfterMs};
				}

				await schedule.sleep(next.delayMs);
			}
		},
	};
}
