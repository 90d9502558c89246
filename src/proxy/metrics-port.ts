import {createServer, type Server} from 'node:http';
import type {ProxyMetrics} from '../gateway/prom-gateway-metrics.js';

/** Serves the metrics as text on every path. A port that cannot be opened is reported to `onError`; the proxy runs on without metrics. */
export function openMetricsPort(host: string, port: number, metrics: ProxyMetrics, refresh: () => void, onError: (err: Error) => void): Server {
	const server = createServer((_req, res) => {
		refresh();
		metrics.render().then(text => {
			res.writeHead(200, {'content-type': metrics.contentType}).end(text);
		}, (err: unknown) => {
			onError(err as Error);
			res.writeHead(500).end();
		});
	});
	server.on('error', onError);
	server.listen(port, host);
	return server;
}
