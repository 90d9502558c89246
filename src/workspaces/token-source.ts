import type {HostRecord} from '../leadership/leadership-record.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import {createIssuerHosts} from './issuer-hosts.js';
import {createPeerReachability} from './peer-reachability.js';
import type {TokenGrant, TokenRequest} from './rate-limit-calls.js';
import type {TokenIssuer} from './token-issuer.js';

/** Requests tokens from the issuer hosts, and serves those of the workspaces that this host issues. */
export type TokenSource = {
	/** Resolves with the issuer's grant; undefined where no issuer responds. */
	request(req: TokenRequest): Promise<TokenGrant | undefined>;
};

/** Options of {@link createTokenSource}. */
export type TokenSourceOptions = {
	readonly peers: Peers;
	readonly unreachable: UnreachableHosts;
	readonly clock: Clock;
	readonly ownPeerAddress: string;
	readonly issuer: TokenIssuer;
	/** Returns the registered hosts. */
	getHosts(): readonly HostRecord[];
};

/** Timeout of a request to an issuer, in milliseconds: about fifty times the latency between zones. */
const REQUEST_TIMEOUT_MS = 120;

/** Creates the source, and registers the handler for other hosts' requests. */
export function createTokenSource({peers, unreachable, clock, ownPeerAddress, issuer, getHosts}: TokenSourceOptions): TokenSource {
	const issuerHosts = createIssuerHosts(getHosts);
	const reachability = createPeerReachability(peers, clock);

	peers.handle('rate-limit-take', async req => {
		reachability.noteContact();
		return issuer.grant(req, clock.now());
	});

	/** Guards the limit where this host is cut off: it would grant all of it to its own callers, while another host grants it to the callers of all others. */
	const grantLocally = async (issuers: readonly string[], req: TokenRequest) => {
		const isReachable = await reachability.check(issuers.filter(other => other !== ownPeerAddress));
		return isReachable ? issuer.grant(req, clock.now()) : undefined;
	};

	const requestFrom = async (address: string, req: TokenRequest) => {
		if (unreachable.has(address, clock.now())) {
			return undefined;
		}

		try {
			const grant = await peers.call(address, 'rate-limit-take', req, REQUEST_TIMEOUT_MS);
			reachability.noteContact();
			return grant;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			unreachable.add(address, clock.now());
			return undefined;
		}
	};

	return {
		async request(req) {
			const issuers = issuerHosts.get(req.workspace);
			for (const address of issuers) {
				const grant = await (address === ownPeerAddress ? grantLocally(issuers, req) : requestFrom(address, req));
				if (grant) {
					return grant;
				}
			}

			// Before any host is registered, this host is the only one that it knows of.
			return issuers.length === 0 ? issuer.grant(req, clock.now()) : undefined;
		},
	};
}
