import type {VirtualSchedule} from '../virtual-schedule.js';

/** How a statement ended. */
export const RunResult = {
	Done: 'done',
	/** The server took no connection: proved not run. */
	Refused: 'refused',
	/** No answer came by the time given, or the connection was cut. The server may still work on it. */
	Silent: 'silent',
} as const;

/** One of the results in {@link RunResult}. */
export type RunResult = typeof RunResult[keyof typeof RunResult];

/** A database server as a queue: slots, and first come first served for what finds them taken. */
export type ServerModel = {
	/** Runs a statement of that much work; resolves by `giveUpAt` at the latest. */
	run(workMs: number, giveUpAt: number): Promise<RunResult>;
	/** Work done in a millisecond by each slot; 1 is normal. Holds for statements that begin after. */
	setSpeed(speed: number): void;
	/** While set the server takes no connection; what runs goes on. */
	setRefusing(refusing: boolean): void;
	/** Loses all that runs and waits, as a crash does; its connections are cut. */
	crash(): void;
};

type Job = {
	readonly workMs: number;
	end(result: RunResult): void;
};

/** Creates a server; an exchange costs `roundTripMs` beside its work. */
export function createServerModel(schedule: VirtualSchedule, slots: number, roundTripMs: number): ServerModel {
	const waiting: Job[] = [];
	const running = new Set<Job>();
	let speed = 1;
	let refusing = false;

	const finish = (job: Job) => {
		if (running.delete(job)) {
			job.end(RunResult.Done);
			startNext();
		}
	};

	function startNext() {
		while (running.size < slots && waiting.length > 0) {
			const job = waiting.shift()!;
			running.add(job);
			schedule.at(schedule.now() + (job.workMs / speed), () => {
				finish(job);
			});
		}
	}

	return {
		async run(workMs, giveUpAt) {
			return new Promise<RunResult>(resolve => {
				if (refusing) {
					schedule.at(schedule.now() + roundTripMs, () => {
						resolve(RunResult.Refused);
					});
					return;
				}

				const end = (result: RunResult) => {
					schedule.at(schedule.now() + (roundTripMs / 2), () => {
						resolve(result);
					});
				};

				schedule.at(schedule.now() + (roundTripMs / 2), () => {
					waiting.push({workMs, end});
					startNext();
				});
				schedule.at(giveUpAt, () => {
					resolve(RunResult.Silent);
				});
			});
		},
		setSpeed(to) {
			speed = to;
		},
		setRefusing(to) {
			refusing = to;
		},
		crash() {
			for (const job of [...running, ...waiting]) {
				job.end(RunResult.Silent);
			}

			running.clear();
			waiting.length = 0;
		},
	};
}
