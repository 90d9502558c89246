/** What a transaction's id tells any proxy: its request key, its group, and the host that holds its connection. */
export type TransactionId = {
	readonly requestId: string;
	readonly group: string;
	readonly host: string;
};

const SEPARATOR = '.';

/** Writes the id that a caller uses. */
export function formatTransactionId({requestId, group, host}: TransactionId): string {
	return [requestId, group, host].join(SEPARATOR);
}

/** Reads a caller's id, undefined where it is none. */
export function parseTransactionId(id: string): TransactionId | undefined {
	const [requestId, group, ...host] = id.split(SEPARATOR);
	if (!requestId || !group || host.length === 0) {
		return undefined;
	}

	return {requestId, group, host: host.join(SEPARATOR)};
}
