/** Whether a remote link is closed. It closes once, and its listeners are called then. */
export type CloseState = {
	readonly closed: boolean;
	onClose(listener: () => void): void;
	/** Closes it; does nothing where it is closed. */
	close(): void;
};

/** Creates the state of an open link. */
export function createCloseState(): CloseState {
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
