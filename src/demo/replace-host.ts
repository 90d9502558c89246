import {WorkClass} from '../groups/group-config.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';
import {findFailedRequests} from './drain-endpoint.js';
import {FILINGS, type Scenario, type Demo} from './demo.js';
import {Guarantee} from './guarantees.js';
import {verifyWorkStream, startWorkStream, type WorkStreamOptions} from './work-stream.js';

const STREAM: WorkStreamOptions = {
	group: FILINGS, table: 'filings', batch: 'replace', callers: 8, class: WorkClass.Deadline, deadlineMs: 8000,
};

const WRITES_BEFORE = 40;
const WRITES_AFTER = 40;

/** Stops two proxies gracefully under load, one after the other; one of them may be an owner of the group. */
export const replaceHost: Scenario = {
	title: 'Two proxies are replaced while attorneys file',
	why: 'Hosts come and go every day. SIGTERM ends a daemon once what it had in flight is answered.',
	async run(demo) {
		const {balancer, guarantees, output} = demo;
		const leaving = balancer.getLive().slice(0, 2);
		const stream = startWorkStream(demo, STREAM);
		await stream.waitForAcknowledged(WRITES_BEFORE);
		const faults: string[] = [];
		for (const proxy of leaving) {
			faults.push(...await replace(demo, proxy));
		}

		await stream.waitForAcknowledged(WRITES_AFTER);
		await stream.stop();
		output.printLine(`${leaving.map(({host}) => host.name).join(' and ')} left, ${stream.writes.length} filings and ${stream.reads.length} lookups went on`);
		guarantees.check(Guarantee.GracefulStop, [...faults, ...findFailedRequests(stream)], 'both daemons ended with exit code 0, no request was refused or cut');
		await verifyWorkStream(demo, STREAM, stream);
	},
};

/** Stops a proxy as the platform does: lists it as leaving, sends SIGTERM, and removes it from the list once it has ended. Resolves with what went wrong. */
async function replace({system}: Demo, proxy: LocalProxy): Promise<string[]> {
	const {name} = proxy.host;
	const hosts = system.proxies.filter(({process}) => !process.ended).map(({host}) => host);
	await system.setHosts(hosts.map(host => host.name === name ? {...host, state: 'leaving'} : host));
	const exitCode = await proxy.process.stop();
	await system.setHosts(hosts.filter(host => host.name !== name));
	return exitCode === 0 ? [] : [`${name} ended with ${exitCode ?? 'a signal'}`];
}
