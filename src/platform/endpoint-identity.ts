/**
 * Returns the id of one incarnation of a server. A server that restarts under the same id keeps nothing of its previous incarnation, so everything
 * known about it (its log, its fence, its term, its connections) belongs to one incarnation. The proxy treats each incarnation as a separate endpoint.
 *
 * The start time follows the server's id after a blank, which no id on the wire can contain.
 * @param startedAt Unix time of the server's start, in milliseconds; undefined if it is not given, as by servers that get a new id with each start.
 */
export function formatEndpointId(serverId: string, startedAt: number | undefined): string {
	return startedAt === undefined ? serverId : `${serverId} ${startedAt}`;
}

/** Returns the id under which the platform knows the server of an endpoint, which is the same for all its incarnations. */
export function getServerId(endpointId: string): string {
	const [serverId = ''] = endpointId.split(' ', 1);
	return serverId;
}
