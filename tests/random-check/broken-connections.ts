import type {EndpointConnection, Endpoints} from '../../src/endpoints/endpoint.js';

/** What takes a connection's place; `usable` is the connection's own unless it brings one. */
export type Wrap = (connection: EndpointConnection, address: string) => EndpointConnection;

/** Puts something in front of every connection to the servers. */
export function wrapConnections(endpoints: Endpoints, wrap: Wrap): Endpoints {
	return {
		getEndpoint(address) {
			const endpoint = endpoints.getEndpoint(address);
			return {
				address,
				async connect(timeoutMs) {
					const connection = await endpoint.connect(timeoutMs);
					const wrapped = wrap(connection, address);
					const own = Object.getOwnPropertyDescriptor(wrapped, 'usable');
					// A copy made by spreading has the value of the moment in place of the connection's getter.
					return own?.get ? wrapped : Object.defineProperty(wrapped, 'usable', {get: () => connection.usable});
				},
			};
		},
	};
}
