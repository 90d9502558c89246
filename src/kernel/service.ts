/** The life cycle of a service, which the kernel controls. A service without these methods runs no background work. */
export type Service = {
	/** Starts background work. The kernel waits for it before it starts the next service. */
	start?(): Promise<void>;
	/** Stops background work. The kernel stops services in the reverse order of their start. */
	stop?(): Promise<void>;
};
