import {Outcome} from '../callers/caller-response.js';
import type {Hosts} from '../membership/hosts.js';
import type {PeerCalls} from '../peers/peer-calls.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {PlatformHost} from '../object-store/platform.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {OwnersService} from '../owners/create-owners.js';
import type {Transactions} from '../transactions/create-transactions.js';
import type {Clock} from '../time/clock.js';
import type {OwnerResponse} from './owner-request.js';

/** The peer calls whose response is an {@link OwnerResponse}. */
export type OwnerCall = {
	[K in keyof PeerCalls]: PeerCalls[K]['res'] extends OwnerResponse ? K : never;
}[keyof PeerCalls];

/** Calls owners on this host or another; a call never rejects. */
export type OwnerClient = {
	call<K extends OwnerCall>(host: PlatformHost, kind: K, req: PeerCalls[K]['req']): Promise<OwnerResponse>;
};

/** Options of {@link createOwnerClient}. */
export type OwnerClientOptions = {
	readonly clock: Clock;
	readonly hosts: Hosts;
	readonly peers: Peers;
	/** Handles the calls to this host's own groups. */
	readonly owners: Pick<OwnersService, 'execute' | 'resolve'>;
	readonly transactions: Pick<Transactions, 'begin' | 'run' | 'commit' | 'rollback'>;
};

/** Time added to a call's remaining time for the transfer of the response, in milliseconds. */
const RESPONSE_MARGIN_MS = 20;

/** Creates the client of one host. */
export function createOwnerClient(options: OwnerClientOptions): OwnerClient {
	const {clock, hosts, peers} = options;
	const localHandlers: {[K in OwnerCall]: (req: PeerCalls[K]['req']) => Promise<OwnerResponse>} = {
		execute: options.owners.execute,
		resolve: options.owners.resolve,
		begin: options.transactions.begin,
		run: options.transactions.run,
		commit: options.transactions.commit,
		rollback: options.transactions.rollback,
	};

	// Guards against a false "not run": a call that was sent may have run although no response arrived.
	const createSilentResponse = (host: PlatformHost, err: unknown): OwnerResponse => {
		const sent = !isPeerError(err) || err.sent;
		return {
			outcome: sent ? Outcome.Unknown : Outcome.NotRun,
			tryNext: true,
			refusal: {
				code: RefusalCode.OwnerSilent,
				reason: `host ${host.name}, which looks after the group, gave no answer`,
				retryAfterMs: 100,
				facts: {host: host.name, sent, cause: (err as Error).message},
			},
		};
	};

	return {
		async call(host, kind, req) {
			if (host.name === hosts.self.name) {
				return localHandlers[kind](req);
			}

			try {
				const response: OwnerResponse = await peers.call(host.address, kind, req, req.remainingMs + RESPONSE_MARGIN_MS);
				hosts.reportReachable(host.address);
				if (response.refusal?.code === RefusalCode.HostLeaving) {
					hosts.reportLeaving(host.address, clock.now());
				}

				return response;
			} catch (err) {
				const response = createSilentResponse(host, err);
				// A call that was sent may have failed only because its own time ran out.
				if (response.outcome === Outcome.NotRun) {
					hosts.reportUnreachable(host.address, clock.now());
				}

				return response;
			}
		},
	};
}
