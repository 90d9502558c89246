import type {VirtualSchedule} from '../virtual-schedule.js';

/** How a statement ended. */
export const RunResult = {
	Done: 'done',
	/** The server accepted no connection, which proves that the statement did not run. */
	Refused: 'refused',
	/** No response came by the given time, or the connection was cut. The server may still execute the statement. */
	Silent: 'silent',
} as const;

/** One of the results in {@link RunResult}. */
export type RunResult = typeof RunResult[keyof typeof RunResult];

/** A database server modelled as a first-come-first-served queue in front of a number of slots. */
export type ServerModel = {
	/** Runs a statement that takes `workMs` at normal speed; resolves by `giveUpAt` at the latest. */
	run(workMs: number, giveUpAt: number): Promise<RunResult>;
	/** Sets the work that each slot does in a millisecond; 1 is normal. Applies to statements that start executing later. */
	setSpeed(speed: number): void;
	/** Sets whether the server refuses connections; running statements continue. */
	setRefusing(refusing: boolean): void;
	/** Cuts all connections and drops all running and waiting statements, as a crash does. */
	crash(): void;
};

type Job = {
	readonly workMs: number;
	end(result: RunResult): void;
};

/** Creates a server; an exchange takes `roundTripMs` in addition to its work. */
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
