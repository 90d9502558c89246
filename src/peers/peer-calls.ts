/**
 * The kinds of call between proxies, with the shapes of question and answer.
 *
 * Each domain adds its own by declaration merging, next to the types it sends.
 */
export interface PeerCalls {}
