/** The daemon's settings; each comes from a flag or an `ALDERCROFT_*` variable. docs/SETTINGS.md lists them. */
export type Settings = {
	/** Name of this host on the platform's list. */
	readonly hostName: string;
	/** IP number to listen on and to be reached at. */
	readonly hostAddress: string;
	readonly availabilityZone: string;
	/** Port for callers. */
	readonly callerPort: number;
	/** Port for peers. */
	readonly peerPort: number;
	/** Port for operators and metrics. */
	readonly operatorPort: number;
	/** Base URL of the platform's API. */
	readonly platformUrl: string;
	/** Keys that sign session tokens and refusal tickets, current first; 32 bytes or more each. */
	readonly signingKeys: readonly string[];
	/** Keys that authenticate peer links, current first. */
	readonly peerKeys: readonly string[];
	/** User and password for the database servers. */
	readonly endpointUser: string;
	readonly endpointPassword: string;
	/** Database to open on the database servers. */
	readonly endpointDatabase: string;
	/** SHA-256, in hex, of the token that opens a system without operators; empty for none. */
	readonly bootstrapTokenHash: string;
	/** Bunyan level name. */
	readonly logLevel: string;
	/** Bound on ending in-flight work on SIGTERM, in milliseconds. */
	readonly shutdownMs: number;
	/** How long a leaving host goes on telling callers to come back, so that the balancer has time to notice, in milliseconds. */
	readonly leaveNoticeMs: number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		settings: Settings;
	}
}
