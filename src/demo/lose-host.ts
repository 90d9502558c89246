import {WorkClass} from '../groups/group-config.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';
import {FILINGS, type Scenario, type Demo} from './demo.js';
import {verifyWorkStream, startWorkStream, type WorkStreamOptions} from './work-stream.js';

const STREAM: WorkStreamOptions = {
	group: FILINGS, table: 'filings', batch: 'host', callers: 10, class: WorkClass.Deadline, deadlineMs: 8000,
};

const WRITES_BEFORE = 40;
const WRITES_AFTER = 80;

/** Kills a proxy that holds connections to the filings' group while requests are in flight. */
export const loseHost: Scenario = {
	title: 'A proxy dies with filings in flight',
	why: 'Hosts keep nothing and die at any instruction. An attorney left without an answer asks again under the same request id.',
	async run(demo) {
		const {balancer, output} = demo;
		const stream = startWorkStream(demo, STREAM);
		await stream.waitForAcknowledged(WRITES_BEFORE);
		const owner = await findOwner(demo);
		await owner.process.kill();
		await stream.waitForAcknowledged(WRITES_AFTER);
		await stream.stop();
		balancer.remove(owner.host.name);
		output.printLine(`${owner.host.name} was killed; connections that broke under a request, which was then sent again: ${stream.brokenConnections}`);
		await verifyWorkStream(demo, STREAM, stream);
	},
};

type ShownEndpoint = {
	readonly work: ReadonlyArray<{readonly host: string}>;
};

/** Resolves with a host on which filings run at the moment, or with the next live one where none is reported. */
async function findOwner({balancer, dana, system}: Demo): Promise<LocalProxy> {
	const text = await dana.runOrThrow(`show endpoints of group ${FILINGS} --json`, balancer.next());
	const {data} = JSON.parse(text) as {data: readonly ShownEndpoint[]};
	const host = data.flatMap(({work}) => work)[0]?.host;
	return host === undefined ? balancer.next() : system.getProxyOrThrow(host);
}
