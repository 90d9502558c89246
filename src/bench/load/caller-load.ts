import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {performance} from 'node:perf_hooks';

/** Closed-loop load on one daemon: each caller sends its next request once it has the response to the last. */
export type CallerLoad = {
	readonly callerUrl: string;
	readonly group: string;
	readonly callers: number;
	/** Duration in milliseconds. */
	readonly durationMs: number;
	readonly session: string;
	/** Creates the body of the request with the number `index`. */
	createBody(index: number): Record<string, unknown>;
};

/** Results of a load. */
export type CallerLoadResult = {
	/** Response times of the requests with status 200, in milliseconds. */
	readonly latenciesMs: readonly number[];
	readonly requestsPerSecond: number;
	/** Number of responses with another status than 200, by status. */
	readonly otherStatuses: Readonly<Record<string, number>>;
};

/** Runs the load and resolves once the last response has arrived. */
export async function runCallerLoad(load: CallerLoad): Promise<CallerLoadResult> {
	const agent = new Agent({keepAlive: true, maxSockets: load.callers});
	const latenciesMs: number[] = [];
	const otherStatuses: Record<string, number> = {};
	const startedAt = performance.now();
	let index = 0;

	const call = async () => {
		while (performance.now() - startedAt < load.durationMs) {
			const sentAt = performance.now();
			const {status} = await post(agent, load, JSON.stringify(load.createBody(index++)));
			if (status === 200) {
				latenciesMs.push(performance.now() - sentAt);
			} else {
				otherStatuses[status] = (otherStatuses[status] ?? 0) + 1;
			}
		}
	};

	await Promise.all(Array.from({length: load.callers}, call));
	agent.destroy();
	return {latenciesMs, requestsPerSecond: latenciesMs.length / ((performance.now() - startedAt) / 1000), otherStatuses};
}

/** Status and body of a response. */
export type PostResponse = {
	readonly status: number;
	readonly body: string;
};

async function post(agent: Agent, load: Pick<CallerLoad, 'callerUrl' | 'group' | 'session'>, body: string): Promise<PostResponse> {
	return new Promise((resolve, reject) => {
		const req = request(`${load.callerUrl}/v1/groups/${load.group}/requests`, {
			method: 'POST',
			agent,
			headers: {
				'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'aldercroft-session': load.session,
			},
		}, res => {
			let text = '';
			res.setEncoding('utf8');
			res.on('data', (part: string) => {
				text += part;
			});
			res.on('end', () => {
				resolve({status: res.statusCode!, body: text});
			});
			res.on('error', reject);
		});
		req.on('error', reject);
		req.end(body);
	});
}

/** Sends one request and resolves with the parsed body of the response. */
export async function sendRequest(load: Pick<CallerLoad, 'callerUrl' | 'group' | 'session'>, body: Record<string, unknown>): Promise<Record<string, unknown>> {
	const agent = new Agent();
	const response = await post(agent, load, JSON.stringify(body));
	agent.destroy();
	return JSON.parse(response.body) as Record<string, unknown>;
}
