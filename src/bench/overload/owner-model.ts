import type {Admission} from '../../admission/admission.js';
import {RefusalCode} from '../../refusals/refusal.js';
import type {VirtualSchedule} from '../virtual-schedule.js';
import type {ModelResponse, ModelService} from './request-model.js';
import {RunResult, type ServerModel} from './server-model.js';

/** Dependencies and settings of an owner model. */
export type OwnerModelOptions = {
	readonly schedule: VirtualSchedule;
	readonly admission: Admission;
	readonly server: ServerModel;
	/** Whether a statement is given up at its deadline. */
	readonly givesUp: boolean;
};

const RESPONSES: Readonly<Record<RunResult, ModelResponse>> = {
	done: {done: true, provedNotRun: false},
	refused: {done: false, provedNotRun: true, code: RefusalCode.NoConnection},
	silent: {done: false, provedNotRun: false, code: RefusalCode.EndpointSilent},
};

/** Creates an owner, which acquires a slot from the admission and then runs the statement at the server. */
export function createOwnerModel({schedule, admission, server, givesUp}: OwnerModelOptions): ModelService {
	return {
		async execute(req) {
			const replicatedAt = schedule.now() + req.replicationMs;
			const admitted = await admission.acquire(req, schedule.now());
			if (!admitted.admitted) {
				const {code, retryAfterMs} = admitted.refusal;
				return {
					done: false, provedNotRun: true, code, retryAfterMs,
				};
			}

			const result = await server.run(req.workMs, givesUp ? req.deadlineAt : Number.MAX_VALUE);
			admitted.release(schedule.now(), result === RunResult.Done);
			if (schedule.now() < replicatedAt) {
				await schedule.sleep(replicatedAt - schedule.now());
			}

			return RESPONSES[result];
		},
	};
}
