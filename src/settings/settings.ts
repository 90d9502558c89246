/** The daemon's settings, each given by a flag or an `ALDERCROFT_*` variable. docs/SETTINGS.md lists them. */
export type Settings = {
	/** The name of this host in the platform's list of hosts. */
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
	/** Keys that authenticate links between proxies, current first; 32 bytes or more each. */
	readonly peerKeys: readonly string[];
	/** User and password for the database servers. */
	readonly endpointUser: string;
	readonly endpointPassword: string;
	/** Database to open on the database servers. */
	readonly endpointDatabase: string;
	/** SHA-256, in hex, of the token that grants access to a system without operators; empty for none. */
	readonly bootstrapTokenHash: string;
	/** The lowest bunyan level to print. */
	readonly logLevel: string;
	/** Maximum time of a graceful stop after a signal, in milliseconds. */
	readonly shutdownMs: number;
	/** How long a leaving host keeps answering callers with a refusal that they may retry, so that the balancer has time to notice, in milliseconds. */
	readonly leaveNoticeMs: number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		settings: Settings;
	}
}
