import {Agent, request} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {fastify} from 'fastify';
import type {Admission} from '../../admission/admission.js';
import {createAdmission} from '../../admission/create-admission.js';
import {callerRequestSchema} from '../../callers/caller-request.js';
import {createVirtualSchedule} from '../virtual-schedule.js';
import type {ExperimentOptions} from '../experiment.js';
import {measureSeeds, SLOTS, type ExperimentPart} from './part.js';
import {SHARES} from './policies.js';

const REFUSALS = 100_000;
const REQUESTS = 3000;
const WARM_UP = 500;
const DEADLINE_MS = 1e9;

const BODY = JSON.stringify({
	kind: 'read', statement: 'select night, score from nights where member = $1 order by night desc limit 7', values: ['m-1042'], class: 'interactive',
});

/** Compares the processor time of a refusal by a full queue with that of a request served over HTTP. */
export async function runRefusalCost({seeds, report}: ExperimentOptions): Promise<ExperimentPart> {
	report('cost of a refusal');
	const measures = await measureSeeds(seeds, async () => {
		const refusalUs = await measureRefusalUs();
		const servedUs = await measureServedUs();
		return {
			'processor time of a refusal (us)': refusalUs,
			'processor time of a served request, one hop over HTTP (us)': servedUs,
			'refusal against a served request (part)': refusalUs / servedUs,
		};
	});
	return {measures, baselines: [], plots: []};
}

async function measureRefusalUs(): Promise<number> {
	const admission = createIdleAdmission();
	const req = {class: 'interactive', deadlineAt: DEADLINE_MS} as const;
	while (admission.getLoad().queued.interactive < SLOTS) {
		void admission.acquire(req, 0);
	}

	// Fills the queue, if it is not full yet: requests that are queued are never resolved.
	for (let i = 0; i < WARM_UP; i++) {
		void admission.acquire(req, 0);
	}

	return measureUs(REFUSALS, async () => admission.acquire(req, 0));
}

/** Returns half of the processor time of client and server together, since both run in this process, in microseconds. */
async function measureServedUs(): Promise<number> {
	const admission = createIdleAdmission();
	const server = fastify();
	server.post('/v1/groups/:group/requests', async req => {
		const {class: workClass, statement} = callerRequestSchema.parse(req.body);
		const admitted = await admission.acquire({class: workClass, deadlineAt: DEADLINE_MS}, 0);
		if (admitted.admitted) {
			admitted.release(1, true);
		}

		return {outcome: 'done', rows: [{statement}], servedBy: 'hall-a-1'};
	});
	await server.listen({host: '127.0.0.1', port: 0});
	const {port} = server.server.address() as AddressInfo;
	const agent = new Agent({keepAlive: true});

	try {
		await measureUs(WARM_UP, async () => post(agent, port));
		return await measureUs(REQUESTS, async () => post(agent, port)) / 2;
	} finally {
		agent.destroy();
		await server.close();
	}
}

function createIdleAdmission(): Admission {
	return createAdmission({
		endpoint: 'hall-a-1', slots: SLOTS, owners: 1, shares: SHARES, clock: createVirtualSchedule(),
	});
}

async function post(agent: Agent, port: number): Promise<void> {
	return new Promise((resolve, reject) => {
		const req = request({
			agent, port, method: 'POST', path: '/v1/groups/nights/requests',
			headers: {'content-type': 'application/json', 'content-length': BODY.length},
		}, res => {
			res.resume();
			res.once('end', resolve);
		});
		req.once('error', reject);
		req.end(BODY);
	});
}

async function measureUs(count: number, run: () => Promise<unknown>): Promise<number> {
	const before = process.cpuUsage();
	for (let i = 0; i < count; i++) {
		await run();
	}

	const {user, system} = process.cpuUsage(before);
	return (user + system) / count;
}
