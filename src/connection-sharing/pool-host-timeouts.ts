/**
 * Maximum time that a request waits for a connection at a pool host, in milliseconds: about ten statements. A pool host always answers within it, with a connection or
 * without, so a failed pool host can be distinguished from a busy one, and another pool host is asked whose connections may have been released meanwhile.
 */
export const POOL_HOST_WAIT_MS = 120;

/** Time for the network round trip that is added to that wait, in milliseconds: about a hundred times the latency within a zone. */
export const POOL_HOST_ROUND_TRIP_MS = 130;
