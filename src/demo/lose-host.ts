import {WorkClass} from '../groups/group-config.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';
import {FILINGS, type Chapter, type Demo} from './demo.js';
import {judgeWorkStream, startWorkStream, type WorkStreamOptions} from './work-stream.js';

const STREAM: WorkStreamOptions = {
	group: FILINGS, table: 'filings', batch: 'host', callers: 10, class: WorkClass.Deadline, deadlineMs: 8000,
};

const BEFORE = 40;
const AFTER = 80;

/** A proxy that holds connections to the filings is killed with requests in flight. */
export const loseHost: Chapter = {
	title: 'A proxy dies with filings in flight',
	why: 'Hosts keep nothing and die at any instruction. An attorney left without an answer asks again under the same request id.',
	async tell(demo) {
		const {balancer, story} = demo;
		const stream = startWorkStream(demo, STREAM);
		await stream.waitForAcknowledged(BEFORE);
		const owner = await findOwner(demo);
		await owner.process.kill();
		await stream.waitForAcknowledged(AFTER);
		await stream.stop();
		balancer.takeOut(owner.host.name);
		story.tell(`${owner.host.name} was killed; connections that broke under a request, which was then sent again: ${stream.cuts}`);
		await judgeWorkStream(demo, STREAM, stream);
	},
};

type ShownEndpoint = {
	readonly work: ReadonlyArray<{readonly host: string}>;
};

/** A host at which filings run just now; the first live one where none was seen. */
async function findOwner({balancer, dana, system}: Demo): Promise<LocalProxy> {
	const text = await dana.runOrThrow(`show endpoints of group ${FILINGS} --json`, balancer.next());
	const {data} = JSON.parse(text) as {data: readonly ShownEndpoint[]};
	const host = data.flatMap(({work}) => work)[0]?.host;
	return host === undefined ? balancer.next() : system.getProxyOrThrow(host);
}
