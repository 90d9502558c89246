import type {EndpointConnection, EndpointStatus, TermAnswer} from '../endpoints/endpoint.js';
import {throwNoAnswer} from '../endpoints/endpoint-errors.js';
import type {LogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {GroupFailoverContext} from './group-failover.js';

/** Controls a group's servers over an owner's control connections; records every answer and every failure in the group's knowledge. */
export type GroupControl = {
	/** Requests a server's status. An abort of the signal destroys the connection, so that the next exchange uses a fresh one. */
	status(endpoint: string, ms: number, signal?: AbortSignal): Promise<EndpointStatus>;
	fence(endpoint: string, term: number, ms: number): Promise<TermAnswer>;
	promote(endpoint: string, term: number, ms: number): Promise<TermAnswer>;
	/** Orders a server to follow the primary at that address. */
	follow(endpoint: string, term: number, primaryAddress: string, ms: number): Promise<TermAnswer>;
	/** Waits until a server holds a position; resolves with its status then, or shortly before `ms` milliseconds passed. */
	waitFor(endpoint: string, position: LogPosition, ms: number): Promise<EndpointStatus>;
};

/** Options of {@link createGroupControl}. */
export type GroupControlOptions = {
	readonly clock: Clock;
	readonly context: Pick<GroupFailoverContext, 'control' | 'knowledge'>;
};

/** Part of a wait's time that is reserved for the answer's transmission, in milliseconds. */
const ANSWER_RESERVE_MS = 50;

/** Creates the control of one group. */
export function createGroupControl(options: GroupControlOptions): GroupControl {
	const {clock, context} = options;

	type Exchange<T> = (connection: EndpointConnection, remainingMs: number) => Promise<T>;

	const run = async <T>(endpoint: string, ms: number, exchange: Exchange<T>, getStatus: (answer: T) => EndpointStatus): Promise<T> => {
		const endsAt = clock.now() + ms;

		const attempt = context.control(endpoint, async connection => {
			// An exchange that has already timed out must not send its outdated order once a connection opens.
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
		status: async (endpoint, ms, signal) => run(endpoint, ms, async (connection, remainingMs) => askStatus(connection, remainingMs, signal), getOwnStatus),
		fence: async (endpoint, term, ms) => run(endpoint, ms, async (connection, remainingMs) => connection.fence(term, remainingMs), getTermStatus),
		promote: async (endpoint, term, ms) => run(endpoint, ms, async (connection, remainingMs) => connection.promote(term, remainingMs), getTermStatus),
		follow: async (endpoint, term, primaryAddress, ms) => run(
			endpoint,
			ms,
			async (connection, remainingMs) => connection.follow(term, primaryAddress, remainingMs),
			getTermStatus,
		),
		waitFor: async (endpoint, position, ms) => run(
			endpoint,
			ms,
			async (connection, remainingMs) => connection.waitFor(position, Math.max(0, remainingMs - ANSWER_RESERVE_MS), remainingMs),
			getOwnStatus,
		),
	};
}

async function askStatus(connection: EndpointConnection, ms: number, signal: AbortSignal | undefined): Promise<EndpointStatus> {
	const destroyConnection = () => {
		connection.destroy();
	};

	signal?.addEventListener('abort', destroyConnection, {once: true});
	try {
		return await connection.status(ms);
	} finally {
		signal?.removeEventListener('abort', destroyConnection);
	}
}
