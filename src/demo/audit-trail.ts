import {RequestKind} from '../callers/caller-request.js';
import {ExitCode} from '../cli/exit-code.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';
import {createCaller} from './caller.js';
import {FILINGS, type Chapter, type Demo} from './demo.js';
import {Promised} from './promises.js';

/** Read-age limits that the two operators want, in seconds. */
const WANTED_S = {dana: 5, iva: 20} as const;

/** An age that either limit refuses and the limit before accepted, in milliseconds. */
const PROBED_AGE_MS = 30_000;

const POLL_MS = 50;

/** The promise is 6 s; generous on purpose, so that a busy machine does not turn the demo red. */
const IN_FORCE_BOUND_MS = 12_000;

/** Two operators change the same at the same moment, at two proxies. */
export const auditTrail: Chapter = {
	title: 'Two operators change the same limit at the same moment',
	why: 'One wins and the other is told by whom. What stands is in force on every proxy, and in the audit trail once.',
	async tell(demo) {
		const {balancer, clock, dana, iva, promises, story} = demo;
		const command = (operator: keyof typeof WANTED_S) => `set group ${FILINGS} read-age ${WANTED_S[operator]}s`;
		const [first, second] = await Promise.all([
			dana.run(command('dana'), balancer.next()),
			iva.run(command('iva'), balancer.next()),
		]);
		const changedAt = clock.now();
		story.showCommand(command('dana'), first.text, 2);
		story.showCommand(command('iva'), second.text, 2);

		const slow = await Promise.all(balancer.getLive().map(async proxy => waitUntilInForce(demo, proxy, changedAt)));
		const longestMs = Math.round(Math.max(...slow.map(({tookMs}) => tookMs)));
		promises.check(
			Promised.InForce,
			slow.filter(({inForce}) => !inForce).map(({name}) => `${name} still accepts the old limit`),
			`${slow.length} proxies within ${longestMs} ms of the answer (bound for the demo: ${IN_FORCE_BOUND_MS} ms)`,
		);

		const trail = await dana.runOrThrow('show changes', balancer.next());
		story.showCommand('show changes', trail, 12);
		const winners = [first, second].filter(({exitCode}) => exitCode === ExitCode.Ok).length;
		const entries = trail.split('\n').filter(line => line.includes(`set group ${FILINGS} read-age`)).length;
		promises.check(
			Promised.Audited,
			[
				...winners === 1 ? [] : [`${winners} of the two operators were told that they won`],
				...entries === 1 ? [] : [`the change is in the trail ${entries} times`],
			],
			'one of two won, one entry stands',
		);
	},
};

/** Asks a proxy for a read of an age that it has to refuse now. */
async function waitUntilInForce(demo: Demo, proxy: LocalProxy, changedAt: number) {
	const {clock} = demo;
	const caller = createCaller({...demo, group: FILINGS});
	for (;;) {
		const answer = await caller.ask(proxy, {
			kind: RequestKind.Read, statement: 'SELECT mark FROM filings WHERE batch = $1', values: ['none'], maxAgeMs: PROBED_AGE_MS,
		});
		const tookMs = clock.now() - changedAt;
		const inForce = answer.refusal?.code === RefusalCode.AgeOverLimit;
		if (inForce || tookMs > IN_FORCE_BOUND_MS) {
			return {name: proxy.host.name, inForce, tookMs};
		}

		await clock.sleep(POLL_MS);
	}
}
