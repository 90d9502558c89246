import type {EndpointConnection, Endpoints} from '../../src/endpoints/endpoint.js';

/** Returns a replacement for a connection. Its `usable` is that of the connection unless the replacement has a getter of its own. */
export type Wrap = (connection: EndpointConnection, address: string) => EndpointConnection;

/** Wraps every connection to the servers. */
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
					// A copy made by spreading holds the current value instead of the connection's getter.
					return own?.get ? wrapped : Object.defineProperty(wrapped, 'usable', {get: () => connection.usable});
				},
			};
		},
	};
}
