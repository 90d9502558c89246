import type {LogFields} from '../log/log.js';
import type {GatewayParts} from './gateway-parts.js';

/** Returns the fields that describe a database in a log line: its name where a route has it, else only the length of what a caller sent in its place, in bytes. */
export function describeDatabase({state}: GatewayParts['mirror'], database: string): LogFields {
	return state.routing?.routes.has(database) ? {database} : {databaseBytes: database.length};
}
