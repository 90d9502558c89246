import {throwNotConnected} from '../../endpoints/endpoint-errors.js';
import type {Endpoint, EndpointConnection, EndpointStatus} from '../../endpoints/endpoint.js';
import {createServerModel, type ServerModel} from '../overload/server-model.js';
import type {VirtualSchedule} from '../virtual-schedule.js';

/** A database server with a cap on its connections. */
export type PooledServer = {
	readonly model: ServerModel;
	/** Returns the endpoint through which a proxy connects to the server, by the proxy's number. */
	getEndpoint(proxy: number): Endpoint;
	/** Drops a dead proxy's connections, which count until the server detects that the proxy is dead. */
	dropConnections(proxy: number): void;
	readonly figures: ServerFigures;
};

/** Counts of a server's connections. */
export type ServerFigures = {
	opened: number;
	refused: number;
	maxOpen: number;
};

const CONNECT_MS = 10;
const ROUND_TRIP_MS = 2;
const STATUS: EndpointStatus = {
	term: 1, log: {term: 1, position: 1}, role: 'primary', leaving: false,
};

/** Creates a server with a number of slots that accepts at most `cap` connections. */
export function createPooledServer(schedule: VirtualSchedule, slots: number, cap: number): PooledServer {
	const model = createServerModel(schedule, slots, ROUND_TRIP_MS);
	const openByProxy = new Map<number, number>();
	const figures: ServerFigures = {opened: 0, refused: 0, maxOpen: 0};

	const countOpen = () => [...openByProxy.values()].reduce((sum, open) => sum + open, 0);
	const add = (proxy: number, count: number) => {
		openByProxy.set(proxy, Math.max(0, (openByProxy.get(proxy) ?? 0) + count));
		figures.maxOpen = Math.max(figures.maxOpen, countOpen());
	};

	const createConnection = (proxy: number): EndpointConnection => {
		let usable = true;
		const end = () => {
			if (usable) {
				usable = false;
				add(proxy, -1);
			}
		};

		const parts: Partial<EndpointConnection> = {
			get usable() {
				return usable;
			},
			async status() {
				await schedule.sleep(ROUND_TRIP_MS);
				return STATUS;
			},
			async close() {
				end();
			},
			destroy: end,
		};
		return parts as EndpointConnection;
	};

	return {
		model,
		figures,
		getEndpoint: proxy => ({
			address: 'server:5432',
			async connect() {
				await schedule.sleep(CONNECT_MS);
				if (countOpen() >= cap) {
					figures.refused++;
					return throwNotConnected('server:5432', new Error('too many connections'));
				}

				figures.opened++;
				add(proxy, 1);
				return createConnection(proxy);
			},
		}),
		dropConnections(proxy) {
			openByProxy.delete(proxy);
		},
	};
}
