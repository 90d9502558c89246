import type {Admission} from '../../admission/admission.js';
import {createAdmission} from '../../admission/create-admission.js';
import {createConnectionPool, type ConnectionPool} from '../../endpoints/connection-pool.js';
import type {EndpointConnection} from '../../endpoints/endpoint.js';
import type {Random} from '../../random/random.js';
import {SHARES} from '../overload/policies.js';
import type {ModelRequest} from '../overload/request-model.js';
import {RunResult} from '../overload/server-model.js';
import type {VirtualSchedule} from '../virtual-schedule.js';
import type {PooledServer} from './pooled-server.js';

/** A proxy that holds connections to the server: the product's admission before the product's pool. */
export type ProxyModel = {
	readonly dead: boolean;
	/** Runs a request; `waitedMs` is the time until the statement was sent. */
	execute(req: ModelRequest): Promise<ProxyAnswer>;
	/** From then on it answers nothing. */
	die(): void;
};

/** What came of a request at a proxy. */
export type ProxyAnswer = {
	readonly done: boolean;
	readonly waitedMs: number;
};

/** What a proxy is made of. */
export type ProxyModelOptions = {
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	readonly server: PooledServer;
	readonly number: number;
	readonly slots: number;
	/** Connections it may have open. */
	readonly poolLimit: number;
	/** How many proxies hold connections to the server. */
	readonly sharers: number;
};

const NEVER = 1e9;

/** Creates a proxy without connections. */
export function createProxyModel(options: ProxyModelOptions): ProxyModel {
	const {schedule, random, server, slots, sharers} = options;
	let dead = false;
	let parts: {readonly admission: Admission; readonly pool: ConnectionPool} | undefined;

	const getParts = () => {
		parts ??= {
			admission: createAdmission({
				endpoint: 'server', slots, owners: sharers, shares: SHARES, clock: schedule,
			}),
			pool: createConnectionPool({
				endpoint: server.getEndpoint(options.number), limit: options.poolLimit, clock: schedule, random,
			}),
		};
		return parts;
	};

	const acquire = async (deadlineAt: number): Promise<EndpointConnection | undefined> => {
		try {
			return await getParts().pool.acquire(deadlineAt);
		} catch {
			return undefined;
		}
	};

	const run = async (req: ModelRequest): Promise<ProxyAnswer> => {
		const {admission, pool} = getParts();
		const enteredAt = schedule.now();
		const admitted = await admission.acquire({class: req.class, deadlineAt: req.deadlineAt}, enteredAt);
		if (!admitted.admitted) {
			return {done: false, waitedMs: schedule.now() - enteredAt};
		}

		const connection = await acquire(req.deadlineAt);
		const waitedMs = schedule.now() - enteredAt;
		const result = connection ? await server.model.run(req.workMs, req.deadlineAt) : RunResult.Refused;
		if (connection) {
			if (result === RunResult.Silent) {
				connection.destroy();
			}

			pool.release(connection);
		}

		admitted.release(schedule.now(), result === RunResult.Done);
		return {done: result === RunResult.Done, waitedMs};
	};

	return {
		get dead() {
			return dead;
		},
		async execute(req) {
			const answer = dead ? undefined : await run(req);
			if (!answer || dead) {
				await schedule.sleep(NEVER);
			}

			return answer ?? {done: false, waitedMs: 0};
		},
		die() {
			dead = true;
		},
	};
}
