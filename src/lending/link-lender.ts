import {LinkError} from '../links/link-errors.js';
import type {EndpointDirectory, KnownEndpoint} from '../links/endpoint-directory.js';
import type {SessionLink} from '../links/link-session.js';
import type {LeadEvidences} from '../leadership/lead-evidence.js';
import type {Log} from '../log/log.js';
import type {Peers} from '../peers/peers.js';
import type {PlacementKnowledge} from '../placement/placement-knowledge.js';
import type {Random} from '../random/random.js';
import {createRequestId} from '../random/request-id.js';
import {SessionState} from '../statements/statement.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {
	LoanRefusal, type LoanAnswer, type LoanExchange, type LoanRequest, type LoanRun,
} from './lending-calls.js';

/** Lends this host's connections to endpoints to hosts that keep none. */
export type LinkLender = {
	/** Connections that are lent at this moment. */
	readonly loans: number;
	/** Lends none any more; those that are lent may be used to their end. */
	retire(): void;
	/** Ends loans on which no request is under way, rolling back what is open on them, and each other one with its answer; borrowers learn it by their next request. */
	endResting(reason: string): void;
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** What the lender needs. */
export type LinkLenderOptions = {
	readonly peers: Peers;
	readonly directory: EndpointDirectory;
	readonly evidences: LeadEvidences;
	readonly knowledge: PlacementKnowledge;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly log: Log;
	/** Longest that a borrower may rest between two requests, in milliseconds. */
	getLongestRestMs(): number;
};

/** How often loans are looked at whose borrower may have died, in milliseconds. */
const LOOK_MS = 250;

/** A borrower of whose request nothing was heard for so much longer than callers may rest is taken to be dead, in milliseconds: the way of some messages. */
const REST_MARGIN_MS = 1000;

/**
 * A loan that is not used within so long was granted to a borrower that had given up waiting, in milliseconds: a borrower sends its statement as soon as
 * it hears of the connection. Kept for a whole rest, such loans would block an endpoint's few connections for seconds each.
 */
const UNUSED_MS = 400;

/**
 * Guards against a commit whose outcome is called open although it reached no endpoint: told apart from a connection that is lost under a request, where nobody
 * knows. It holds since a loan that is over is never used again, nor its id.
 */
const OVER = {over: true} as const;

type Loan = {
	readonly id: string;
	readonly borrower: string;
	readonly endpoint: KnownEndpoint;
	readonly sessionLink: SessionLink;
	/** State of the connection after its last answer. */
	state: SessionState;
	turn: number;
	lastAt: number;
};

/** Creates a lender that has lent nothing. */
export function createLinkLender(options: LinkLenderOptions): LinkLender {
	const {
		peers, directory, evidences, knowledge, clock, elapsedClock, random, getLongestRestMs,
	} = options;
	const log = options.log.part('loans: ');
	const loans = new Map<string, Loan>();
	const stopping = createSleepAlarm();
	let retired = false;
	/** Why no loan outlasts the request under way on it; undefined while they may. */
	let endingWhy: string | undefined;

	const end = (loan: Loan, cut: boolean) => {
		if (!loans.delete(loan.id)) {
			return;
		}

		// Guards against the next borrower's statement inside this one's transaction, or behind a statement that it has given up.
		if (cut || loan.state !== SessionState.Idle || loan.sessionLink.link.pending > 0) {
			loan.sessionLink.link.cut();
		}

		loan.endpoint.ownPool.release(loan.sessionLink);
	};

	const endUnasked = (loan: Loan, why: string, cut: boolean) => {
		log.info(`a loan is ended: ${why}`, {
			loan: loan.id, borrower: loan.borrower, endpoint: loan.endpoint.entry.id, state: loan.state, restMs: Math.round(clock.now() - loan.lastAt),
		});
		end(loan, cut);
	};

	/**
	 * Guards against a commit that is cut by the end of this host, so that nobody knows whether it ran. A request that is under way gets its answer; every
	 * later one is told for certain that it did not run.
	 */
	const endIfResting = (loan: Loan) => {
		if (endingWhy !== undefined && loan.sessionLink.link.pending === 0) {
			endUnasked(loan, endingWhy, false);
		}
	};

	const lend = async ({endpointId, priority, waitMs, values, workspace, single, least}: LoanRequest, borrower: string): Promise<LoanAnswer> => {
		const endpoint = directory.get(endpointId);
		if (retired) {
			return {refused: LoanRefusal.Stopping};
		}

		if (!endpoint || endpoint.ownPool.health.getSuspicion(clock.now())) {
			return {refused: LoanRefusal.Unreachable};
		}

		const {ownPool} = endpoint;
		const sessionLink = await ownPool.acquire({
			priority, until: clock.now() + waitMs, values: new Map(values), workspace, single, least,
		});
		if (retired) {
			// The order to stop came during the wait: a transaction would begin on a host that is about to end.
			if (sessionLink) {
				ownPool.release(sessionLink);
			}

			return {refused: LoanRefusal.Stopping};
		}

		if (!sessionLink) {
			return {refused: ownPool.health.getSuspicion(clock.now()) ? LoanRefusal.Unreachable : LoanRefusal.Busy};
		}

		const loan: Loan = {
			id: createRequestId(clock.wall(), random),
			borrower,
			endpoint,
			sessionLink,
			state: SessionState.Idle,
			turn: 0,
			lastAt: clock.now(),
		};
		loans.set(loan.id, loan);
		return {loan: loan.id};
	};

	const exchange = async ({loan: id, turn, needed, request, last}: LoanExchange, borrower: string) => {
		const loan = loans.get(id);
		if (loan?.borrower !== borrower) {
			return OVER;
		}

		loan.turn++;
		if (turn !== loan.turn) {
			// Guards against a statement without the one before it, which was lost with a link between the hosts.
			end(loan, true);
			return {};
		}

		if (loan.sessionLink.link.closed) {
			end(loan, true);
			return OVER;
		}

		loan.lastAt = clock.now();
		if (needed) {
			loan.sessionLink.adapt({values: new Map(needed.values), prepared: needed.prepared});
		}

		try {
			const askedAt = elapsedClock.elapsed();
			const {group, id: endpointId} = loan.endpoint.entry;
			const isSample = evidences.get(group, askedAt)?.primaryId === endpointId;
			const answer = await loan.sessionLink.link.exchange(request);
			loan.lastAt = clock.now();
			loan.state = answer.state;
			if (isSample && answer.position && answer.state === SessionState.Idle) {
				knowledge.getSamples(group).note(askedAt, answer.position);
			}

			if (last) {
				end(loan, false);
			} else {
				endIfResting(loan);
			}

			return {answer};
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			end(loan, true);
			return {};
		}
	};

	/**
	 * Guards against a read at a superseded primary: the borrower's evidence may end while the read waits here for a connection, so this host's own has to hold when it is sent.
	 */
	const holdsEvidence = ({endpointId, epoch}: LoanRun) => {
		const evidence = evidences.get(directory.get(endpointId)?.entry.group ?? '', elapsedClock.elapsed());
		return epoch === undefined || (evidence?.epoch === epoch && evidence.primaryId === endpointId);
	};

	const run = async (req: LoanRun, borrower: string) => {
		const granted = await lend(req, borrower);
		if ('refused' in granted) {
			return granted;
		}

		if (!holdsEvidence(req)) {
			end(loans.get(granted.loan)!, false);
			return {refused: LoanRefusal.Unproven};
		}

		return exchange({
			loan: granted.loan, turn: 1, needed: req.needed, request: req.request, last: true,
		}, borrower);
	};

	const ask = async ({endpointId, command, timeoutMs}: {readonly endpointId: string; readonly command: Parameters<KnownEndpoint['ownPool']['ask']>[0]; readonly timeoutMs: number}) => {
		try {
			const asked = directory.get(endpointId)?.ownPool.ask(command, timeoutMs);
			const bounded = asked && await withinMs(clock, timeoutMs, asked);
			return bounded?.timedOut === false ? {status: bounded.value} : {};
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			return {};
		}
	};

	peers.handle('loan-open', async (req, from) => lend(req, from.address));
	peers.handle('loan-run', async (req, from) => run(req, from.address));
	peers.handle('loan-exchange', async (req, from) => exchange(req, from.address));
	peers.handle('loan-end', async ({loan: id, cut}, from) => {
		const loan = loans.get(id);
		if (loan?.borrower === from.address) {
			end(loan, cut);
		}

		return {ended: true as const};
	});
	peers.handle('loan-ask', ask);
	peers.handle('loan-sample', async ({group}) => {
		const sample = knowledge.getSamples(group).getNewest();
		return {sample: sample && {position: sample.position, ageMs: Math.max(0, elapsedClock.elapsed() - sample.askedAt)}};
	});

	/**
	 * Guards an endpoint's few connections against borrowers that died: each would keep one, with its transaction, for ever. A transaction
	 * that rests is ended by its own host before; so a loan that rests for longer has lost its borrower.
	 */
	const endForgotten = () => {
		const longestMs = getLongestRestMs() + REST_MARGIN_MS;
		for (const loan of loans.values()) {
			if (clock.now() - loan.lastAt > (loan.turn === 0 ? UNUSED_MS : longestMs)) {
				endUnasked(loan, 'its borrower has not been heard', true);
			}
		}
	};

	const watch = async () => {
		while (!stopping.aborted) {
			endForgotten();
			await clock.sleep(LOOK_MS, stopping);
		}
	};

	return {
		get loans() {
			return loans.size;
		},
		retire() {
			retired = true;
		},
		endResting(reason) {
			retired = true;
			endingWhy = reason;
			for (const loan of loans.values()) {
				endIfResting(loan);
			}
		},
		async start() {
			void watch();
		},
		async stop() {
			stopping.abort();
		},
	};
}
