import type {LinkFault} from './link-fault.js';

/** Metrics of what goes over connections to endpoints. */
export type LinkMetrics = {
	/** Counts a connection that was cut because of what its endpoint sent. */
	countLinkFault(fault: LinkFault): void;
	/** Counts a request that was not sent, since it was over the size limit. */
	countUnsent(): void;
};
