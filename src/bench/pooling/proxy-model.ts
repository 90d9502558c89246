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

/** A proxy that holds connections to the server: the product's admission in front of the product's pool. */
export type ProxyModel = {
	readonly dead: boolean;
	/** Runs a request; does not resolve within the run once the proxy is dead. */
	execute(req: ModelRequest): Promise<ProxyResponse>;
	/** Makes the proxy unresponsive from now on. */
	die(): void;
};

/** Result of a request at a proxy. */
export type ProxyResponse = {
	readonly done: boolean;
	/** Time until the statement was sent to the server, in milliseconds. */
	readonly waitedMs: number;
};

/** Dependencies and settings of a proxy model. */
export type ProxyModelOptions = {
	readonly schedule: VirtualSchedule;
	readonly random: Random;
	readonly server: PooledServer;
	readonly number: number;
	readonly slots: number;
	/** Maximum number of open connections. */
	readonly poolLimit: number;
	/** Number of proxies that hold connections to the server. */
	readonly sharers: number;
};

/** Longer than any run, in milliseconds. */
const NEVER_MS = 1e9;

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

	const run = async (req: ModelRequest): Promise<ProxyResponse> => {
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
			const response = dead ? undefined : await run(req);
			if (!response || dead) {
				await schedule.sleep(NEVER_MS);
			}

			return response ?? {done: false, waitedMs: 0};
		},
		die() {
			dead = true;
		},
	};
}
