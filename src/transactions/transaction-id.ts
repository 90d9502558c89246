/** The parts of a transaction's id: its request id, its group, and the host that holds its connection. */
export type TransactionId = {
	readonly requestId: string;
	readonly group: string;
	readonly host: string;
};

const SEPARATOR = '.';

/** Formats the id that the caller uses. */
export function formatTransactionId({requestId, group, host}: TransactionId): string {
	return [requestId, group, host].join(SEPARATOR);
}

/** Parses a caller's id; returns undefined where it is malformed. */
export function parseTransactionId(id: string): TransactionId | undefined {
	const [requestId, group, ...host] = id.split(SEPARATOR);
	if (!requestId || !group || host.length === 0) {
		return undefined;
	}

	return {requestId, group, host: host.join(SEPARATOR)};
}
