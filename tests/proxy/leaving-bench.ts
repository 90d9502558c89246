import type {StatementResult} from '../../src/gateway/statement-result.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {leave, type LeaveOptions} from '../../src/proxy/leave.js';
import type {ScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {SessionState} from '../../src/statements/statement.js';
import {
	createProxyBench, describeAnswer, type ProxyBench, type ProxyBenchOptions,
} from './proxy-bench.js';

/** Time from the order to stop until the process is killed, in milliseconds. */
export const GRACE_MS = 6000;

/** Creates a bench whose first host can be ordered to stop. */
export async function createLeavingBench(options?: ProxyBenchOptions) {
	const bench = await createProxyBench(options);
	const {kernel} = bench.proxies[0]!;
	const startLeaving = async (own: Partial<LeaveOptions> = {}) => {
		const startedAt = bench.clock.now();
		await leave({
			gateway: kernel.getOrThrow('gateway'),
			leadershipWatch: kernel.getOrThrow('leadershipWatch'),
			checkoutServer: kernel.getOrThrow('checkoutServer'),
			callerPort: {close() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
			clock: bench.clock,
			log: createSilentLog(),
			graceMs: GRACE_MS,
			...own,
		});
		return bench.clock.now() - startedAt;
	};

	/** Opens a session with an open transaction, which delays the host's end. */
	const openTransaction = async () => {
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'BEGIN');
		await bench.ask(caller, 'WRITE a 1');
		return caller;
	};

	return {bench, startLeaving, openTransaction};
}

/** Records the answers to a caller that sends a statement before the previous one is answered. */
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

/** Makes each statement take `slowMs` milliseconds longer at all endpoints. */
export function slowDown({group}: ProxyBench, slowMs: number) {
	for (const server of group.servers) {
		server.slowMs = slowMs;
	}
}

/** Returns how many of a host's own connections are in use. */
export const countInUse = ({group}: ProxyBench, {kernel}: SimulatedProxy) => {
	let inUse = 0;
	for (const {ownPool} of kernel.getOrThrow('endpointDirectory').list(group.name)) {
		inUse += ownPool.inUse;
	}

	return inUse;
};
