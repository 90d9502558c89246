import type {StatementResult} from '../../src/gateway/statement-result.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {leave, type LeaveOptions} from '../../src/proxy/leave.js';
import type {ScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {SessionState} from '../../src/statements/statement.js';
import {
	createProxyBench, describeAnswer, type ProxyBench, type ProxyBenchOptions,
} from './proxy-bench.js';

/** From the order to stop to the end by force, in milliseconds. */
export const GRACE_MS = 6000;

/** Creates a bench whose first host can be told to stop. */
export async function createLeavingBench(options?: ProxyBenchOptions) {
	const bench = await createProxyBench(options);
	const {kernel} = bench.proxies[0]!;
	const startLeaving = async (own: Partial<LeaveOptions> = {}) => {
		const startedAt = bench.clock.now();
		await leave({
			gateway: kernel.getOrThrow('gateway'),
			leadershipWatch: kernel.getOrThrow('leadershipWatch'),
			lender: kernel.getOrThrow('linkLender'),
			callerPort: {close() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
			clock: bench.clock,
			log: createSilentLog(),
			graceMs: GRACE_MS,
			...own,
		});
		return bench.clock.now() - startedAt;
	};

	/** Opens a session with a transaction, which holds up the host's end. */
	const openTransaction = async () => {
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1');
		return caller;
	};

	return {bench, startLeaving, openTransaction};
}

/** Notes what a caller is answered that sends a statement before the one before it has its answer. */
export function watchAnswers({channel}: ScriptedCaller) {
	const answers: string[] = [];
	const {answer} = channel;
	Object.assign(channel, {
		async answer(result: StatementResult, state: SessionState) {
			answers.push(describeAnswer({...result, state}));
			await answer(result, state);
		},
	});
	return answers;
}

/** Has all endpoints take so much longer over a statement. */
export function slowDown({group}: ProxyBench, slowMs: number) {
	for (const server of group.servers) {
		server.slowMs = slowMs;
	}
}

/** Connections that a host has lent to sessions. */
export const countLent = ({group}: ProxyBench, {kernel}: SimulatedProxy) => {
	let lent = 0;
	for (const {ownPool} of kernel.getOrThrow('endpointDirectory').list(group.name)) {
		lent += ownPool.lent;
	}

	return lent;
};
