import type {HostRecord} from '../leadership/leadership-record.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import {createCountingHosts} from './counting-hosts.js';
import {createPeerContact} from './peer-contact.js';
import type {TokenGrant, TokenRequest} from './rate-limit-calls.js';
import type {TokenIssuer} from './token-issuer.js';

/** Asks the hosts that count for tokens, and answers for those workspaces that this host counts. */
export type TokenSource = {
	/** Undefined where no host that counts answers. */
	request(req: TokenRequest): Promise<TokenGrant | undefined>;
};

/** What the source needs. */
export type TokenSourceOptions = {
	readonly peers: Peers;
	readonly unreachable: UnreachableHosts;
	readonly clock: Clock;
	readonly ownPeerAddress: string;
	readonly issuer: TokenIssuer;
	/** Registered hosts. */
	getHosts(): readonly HostRecord[];
};

/** A host that counts answers within this time, in milliseconds: some fifty times the way between zones. */
const ANSWER_WITHIN_MS = 120;

/** Creates the source, and begins to answer other hosts. */
export function createTokenSource({peers, unreachable, clock, ownPeerAddress, issuer, getHosts}: TokenSourceOptions): TokenSource {
	const countingHosts = createCountingHosts(getHosts);
	const contact = createPeerContact(peers, clock);

	peers.handle('rate-limit-take', async req => {
		contact.noteHeard();
		return issuer.grant(req, clock.now());
	});

	/** Guards the limit where this host is cut off: it would grant all of it to its own callers, beside a host that grants it to everybody else's. */
	const grantToOwn = async (counting: readonly string[], req: TokenRequest) => {
		const isHeard = await contact.check(counting.filter(other => other !== ownPeerAddress));
		return isHeard ? issuer.grant(req, clock.now()) : undefined;
	};

	const askOther = async (address: string, req: TokenRequest) => {
		if (unreachable.has(address, clock.now())) {
			return undefined;
		}

		try {
			const grant = await peers.call(address, 'rate-limit-take', req, ANSWER_WITHIN_MS);
			contact.noteHeard();
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
			const counting = countingHosts.get(req.workspace);
			for (const address of counting) {
				const grant = await (address === ownPeerAddress ? grantToOwn(counting, req) : askOther(address, req));
				if (grant) {
					return grant;
				}
			}

			// Before any host is registered this one is the only one, as far as it knows.
			return counting.length === 0 ? issuer.grant(req, clock.now()) : undefined;
		},
	};
}
