import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {splitAddress} from './tcp-link-opener.js';

const READY_PATH = '/ready';

const Status = {
	Ready: 200,
	NotFound: 404,
	NotReady: 503,
} as const;

/** Opens the HTTP port on which the balancer checks whether this host accepts callers. Resolves once the port listens. */
export async function openReadinessPort(address: string, isReady: () => boolean): Promise<Server> {
	const server = createServer((req, res) => {
		const status = req.url === READY_PATH ? (isReady() ? Status.Ready : Status.NotReady) : Status.NotFound;
		res.writeHead(status, {'content-length': 0}).end();
	});
	const [host, port] = splitAddress(address);
	server.listen(port, host);
	await once(server, 'listening');
	return server;
}
