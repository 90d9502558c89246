/**
 * Names one life of a server. A server that starts again under its id holds nothing of before, so whatever was learned of it (its log, its
 * fence, its term, its connections) belongs to the life that it was learned of: inside, each life is an endpoint of its own.
 *
 * The birth follows the id behind a blank, which no id on the wire can hold.
 * @param bornAt Unix time of the server's start, in milliseconds; undefined where it does not tell, as servers that get a new id with each start.
 */
export function formatEndpointId(serverId: string, bornAt: number | undefined): string {
	return bornAt === undefined ? serverId : `${serverId} ${bornAt}`;
}

/** The id under which the platform knows the server of an endpoint, the same in all its lives. */
export function getServerId(endpointId: string): string {
	const [serverId = ''] = endpointId.split(' ', 1);
	return serverId;
}
