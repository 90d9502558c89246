import {RequestKind} from '../callers/caller-request.js';
import {ExitCode} from '../cli/exit-code.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';
import {createCaller} from './caller.js';
import {FILINGS, type Scenario, type Demo} from './demo.js';
import {Guarantee} from './guarantees.js';

/** Read-age limits that the two operators want, in seconds. */
const WANTED_S = {dana: 5, iva: 20} as const;

/** A read age that both new limits refuse and the previous limit accepted, in milliseconds. */
const REFUSED_AGE_MS = 30_000;

const POLL_MS = 50;

/** Maximum time until a change is in force, in milliseconds. The guarantee is 6 s; this is longer, so that the demo does not fail on a busy machine. */
const IN_FORCE_TIMEOUT_MS = 12_000;

/** Two operators change the same limit at the same moment, at two proxies. */
export const auditTrail: Scenario = {
	title: 'Two operators change the same limit at the same moment',
	why: 'One wins and the other is told by whom. What stands is in force on every proxy, and in the audit trail once.',
	async run(demo) {
		const {balancer, clock, dana, iva, guarantees, output} = demo;
		const command = (operator: keyof typeof WANTED_S) => `set group ${FILINGS} read-age ${WANTED_S[operator]}s`;
		const [first, second] = await Promise.all([
			dana.run(command('dana'), balancer.next()),
			iva.run(command('iva'), balancer.next()),
		]);
		const changedAt = clock.now();
		output.showCommand(command('dana'), first.text, 2);
		output.showCommand(command('iva'), second.text, 2);

		const results = await Promise.all(balancer.getLive().map(async proxy => waitUntilInForce(demo, proxy, changedAt)));
		const longestMs = Math.round(Math.max(...results.map(({tookMs}) => tookMs)));
		guarantees.check(
			Guarantee.InForce,
			results.filter(({inForce}) => !inForce).map(({name}) => `${name} still accepts the old limit`),
			`${results.length} proxies within ${longestMs} ms of the answer (bound for the demo: ${IN_FORCE_TIMEOUT_MS} ms)`,
		);

		const trail = await dana.runOrThrow('show changes', balancer.next());
		output.showCommand('show changes', trail, 12);
		const winners = [first, second].filter(({exitCode}) => exitCode === ExitCode.Ok).length;
		const entries = trail.split('\n').filter(line => line.includes(`set group ${FILINGS} read-age`)).length;
		guarantees.check(
			Guarantee.Audited,
			[
				...winners === 1 ? [] : [`${winners} of the two operators were told that they won`],
				...entries === 1 ? [] : [`the change is in the trail ${entries} times`],
			],
			'one of two won, one entry stands',
		);
	},
};

/** Reads at a proxy with an age that the new limits refuse. Resolves once the proxy refuses it, or has not done so in time. */
async function waitUntilInForce(demo: Demo, proxy: LocalProxy, changedAt: number) {
	const {clock} = demo;
	const caller = createCaller({...demo, group: FILINGS});
	for (;;) {
		const answer = await caller.ask(proxy, {
			kind: RequestKind.Read, statement: 'SELECT mark FROM filings WHERE batch = $1', values: ['none'], maxAgeMs: REFUSED_AGE_MS,
		});
		const tookMs = clock.now() - changedAt;
		const inForce = answer.refusal?.code === RefusalCode.AgeOverLimit;
		if (inForce || tookMs > IN_FORCE_TIMEOUT_MS) {
			return {name: proxy.host.name, inForce, tookMs};
		}

		await clock.sleep(POLL_MS);
	}
}
