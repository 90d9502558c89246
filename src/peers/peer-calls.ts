/**
 * The kinds of call between proxies, with the types of their requests and responses.
 *
 * Each domain adds its own by declaration merging, next to the types it sends.
 */
export interface PeerCalls {}
