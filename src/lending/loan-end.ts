/** The end of a connection that another host lends: it comes once, and is told to whoever listens. */
export type LoanEnd = {
	readonly closed: boolean;
	onClose(listener: () => void): void;
	/** Ends it; does nothing where it has ended. */
	close(): void;
};

/** Creates the end of a connection that is open. */
export function createLoanEnd(): LoanEnd {
	const listeners: Array<() => void> = [];
	let closed = false;

	return {
		get closed() {
			return closed;
		},
		onClose(listener) {
			listeners.push(listener);
		},
		close() {
			if (closed) {
				return;
			}

			closed = true;
			for (const listener of listeners) {
				listener();
			}
		},
	};
}
