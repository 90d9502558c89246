import type {EndpointConnection, EndpointStatus, TermAnswer} from '../endpoints/endpoint.js';
import {throwNoAnswer} from '../endpoints/endpoint-errors.js';
import type {LogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {GroupFailoverContext} from './group-failover.js';

/** Group control over an owner's control connections; every answer goes into the group's knowledge, every failure too. */
export type GroupControl = {
	/** Once the signal aborts, the connection is given up, so that the next exchange begins on a fresh one. */
	status(endpoint: string, ms: number, signal?: AbortSignal): Promise<EndpointStatus>;
	fence(endpoint: string, term: number, ms: number): Promise<TermAnswer>;
	promote(endpoint: string, term: number, ms: number): Promise<TermAnswer>;
	/** Makes a server follow the primary at that address. */
	follow(endpoint: string, term: number, primaryAddress: string, ms: number): Promise<TermAnswer>;
	/** Waits until a server holds a position; answers with what it holds after `ms` at the latest. */
	waitFor(endpoint: string, position: LogPosition, ms: number): Promise<EndpointStatus>;
};

/** What {@link createGroupControl} needs. */
export type GroupControlOptions = {
	readonly clock: Clock;
	readonly context: Pick<GroupFailoverContext, 'control' | 'knowledge'>;
};

/** Part of a wait's time kept for the answer's way back, in milliseconds. */
const ANSWER_RESERVE_MS = 50;

/** Creates the control of one group. */
export function createGroupControl(options: GroupControlOptions): GroupControl {
	const {clock, context} = options;

	type Exchange<T> = (connection: EndpointConnection, remainingMs: number) => Promise<T>;

	const run = async <T>(endpoint: string, ms: number, exchange: Exchange<T>, getStatus: (answer: T) => EndpointStatus): Promise<T> => {
		const endsAt = clock.now() + ms;

		const attempt = context.control(endpoint, async connection => {
			// A promoter that was given up on must not reach the server with its old order once a connection opens at last.
			if (clock.now() >= endsAt) {
				return throwNoAnswer(endpoint, 'a control exchange that began too late');
			}

			const answer = await exchange(connection, endsAt - clock.now());
			context.knowledge.observe(endpoint, getStatus(answer), clock.now());
			return answer;
		});

		try {
			const bounded = await withinMs(clock, ms, attempt);
			return bounded.timedOut ? throwNoAnswer(endpoint, 'a control exchange') : bounded.value;
		} catch (err) {
			context.knowledge.observeFailure(endpoint, clock.now());
			throw err;
		}
	};

	const getTermStatus = ({status}: TermAnswer) => status;
	const getOwnStatus = (status: EndpointStatus) => status;

	return {
		status: async (endpoint, ms, signal) => run(endpoint, ms, async (connection, left) => askStatus(connection, left, signal), getOwnStatus),
		fence: async (endpoint, term, ms) => run(endpoint, ms, async (connection, left) => connection.fence(term, left), getTermStatus),
		promote: async (endpoint, term, ms) => run(endpoint, ms, async (connection, left) => connection.promote(term, left), getTermStatus),
		follow: async (endpoint, term, primaryAddress, ms) => run(
			endpoint,
			ms,
			async (connection, left) => connection.follow(term, primaryAddress, left),
			getTermStatus,
		),
		waitFor: async (endpoint, position, ms) => run(
			endpoint,
			ms,
			async (connection, left) => connection.waitFor(position, Math.max(0, left - ANSWER_RESERVE_MS), left),
			getOwnStatus,
		),
	};
}

async function askStatus(connection: EndpointConnection, ms: number, signal: AbortSignal | undefined): Promise<EndpointStatus> {
	const giveUp = () => {
		connection.destroy();
	};

	signal?.addEventListener('abort', giveUp, {once: true});
	try {
		return await connection.status(ms);
	} finally {
		signal?.removeEventListener('abort', giveUp);
	}
}
