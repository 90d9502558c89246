/** The life cycle that the kernel drives; a service without one is passive. */
export type Service = {
	/** Begins background work; awaited before the next service starts. */
	start?(): Promise<void>;
	/** Ends background work; called in the reverse order of start. */
	stop?(): Promise<void>;
};
