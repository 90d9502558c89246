import {WorkClass} from '../groups/group-config.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';
import {findDisturbed} from './drain-endpoint.js';
import {FILINGS, type Chapter, type Demo} from './demo.js';
import {Promised} from './promises.js';
import {judgeWorkStream, startWorkStream, type WorkStreamOptions} from './work-stream.js';

const STREAM: WorkStreamOptions = {
	group: FILINGS, table: 'filings', batch: 'replace', callers: 8, class: WorkClass.Deadline, deadlineMs: 8000,
};

const BEFORE = 40;
const AFTER = 40;

/** Two proxies are stopped in order under load, one of them perhaps an owner of the group. */
export const replaceHost: Chapter = {
	title: 'Two proxies are replaced while attorneys file',
	why: 'Hosts come and go every day. SIGTERM ends a daemon once what it had in flight is answered.',
	async tell(demo) {
		const {balancer, promises, story} = demo;
		const leaving = balancer.getLive().slice(0, 2);
		const stream = startWorkStream(demo, STREAM);
		await stream.waitForAcknowledged(BEFORE);
		const faults: string[] = [];
		for (const proxy of leaving) {
			faults.push(...await replace(demo, proxy));
		}

		await stream.waitForAcknowledged(AFTER);
		await stream.stop();
		story.tell(`${leaving.map(({host}) => host.name).join(' and ')} left, ${stream.writes.length} filings and ${stream.reads.length} lookups went on`);
		promises.check(Promised.GracefulStop, [...faults, ...findDisturbed(stream)], 'both daemons ended with exit code 0, no request was refused or cut');
		await judgeWorkStream(demo, STREAM, stream);
	},
};

/** Stops a proxy as the platform does: the list calls it leaving, SIGTERM, then it is gone from the list. */
async function replace({system}: Demo, proxy: LocalProxy): Promise<string[]> {
	const {name} = proxy.host;
	const hosts = system.proxies.filter(({process}) => !process.ended).map(({host}) => host);
	await system.setHosts(hosts.map(host => host.name === name ? {...host, state: 'leaving'} : host));
	const exitCode = await proxy.process.stop();
	await system.setHosts(hosts.filter(host => host.name !== name));
	return exitCode === 0 ? [] : [`${name} ended with ${exitCode ?? 'a signal'}`];
}
