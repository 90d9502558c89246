import {
	EndpointRole, type EndpointStatus, type TermAnswer,
} from '../../endpoints/endpoint.js';
import {holdsLogPosition, type LogPosition} from '../../terms/log-position.js';
import type {Clock} from '../../time/clock.js';
import {createDatabaseLog, type DatabaseLog} from './database-log.js';
import {createDatabaseState, type DatabaseState, type LogEffect} from './database-state.js';

/** The primary from which a replica pulls entries, and the term in which it was made to follow it. */
export type FollowedPrimary = {readonly term: number; readonly address: string};

/** The durable state of a server: its log and the state that results from it, the promised term, and its role. */
export type GroupMember = {
	readonly address: string;
	readonly log: DatabaseLog;
	readonly state: DatabaseState;
	readonly following: FollowedPrimary | undefined;
	getStatus(): EndpointStatus;
	/** Returns whether the server is primary at the term, and so accepts writes of it. */
	isPrimaryAt(term: number): boolean;
	fence(term: number): TermAnswer;
	promote(term: number): TermAnswer;
	follow(term: number, address: string): TermAnswer;
	/** Appends the next entry at the promised term; only for a primary. */
	append(effect: LogEffect): void;
	/** Copies the entries from the end of the log up to a position from a primary's log; only for a replica. */
	receive(source: DatabaseLog, upTo: number): void;
	/** Removes the entries after a position and reverts their changes. */
	truncate(position: number): void;
	/** Resolves once the log holds the position, or after `waitMs` milliseconds. */
	waitFor(position: LogPosition, waitMs: number): Promise<void>;
	/** Sets whether the server announces that it is about to leave. */
	setLeaving(leaving: boolean): void;
};

/** Options of {@link createGroupMember}. */
export type GroupMemberOptions = {
	readonly address: string;
	readonly clock: Clock;
	/** Called after every change of log, term or role. */
	onChange(): void;
};

type Waiter = {readonly position: LogPosition; wake(): void};

/** Creates a member with an empty log that has promised no term. */
export function createGroupMember({address, clock, onChange}: GroupMemberOptions): GroupMember {
	const log = createDatabaseLog();
	const state = createDatabaseState();
	const waiters = new Set<Waiter>();
	let term = 0;
	let role: EndpointRole = EndpointRole.Replica;
	let leaving = false;
	let following: FollowedPrimary | undefined;

	const getStatus = (): EndpointStatus => {
		const {end} = log;
		return {
			term, log: {term: end.term, position: end.position}, role, leaving,
		};
	};

	const answer = (granted: boolean): TermAnswer => ({granted, status: getStatus()});

	const notifyChanged = () => {
		for (const waiter of waiters) {
			if (holdsLogPosition(log.end, waiter.position)) {
				waiter.wake();
			}
		}

		onChange();
	};

	const append = (effect: LogEffect) => {
		state.apply(effect);
		log.push({
			term, position: log.end.position + 1, effect, writtenAt: clock.now(),
		});
		notifyChanged();
	};

	return {
		address,
		log,
		state,
		get following() {
			return following;
		},
		getStatus,
		isPrimaryAt: requestedTerm => role === EndpointRole.Primary && term === requestedTerm,
		fence(requestedTerm) {
			if (requestedTerm <= term) {
				return answer(false);
			}

			term = requestedTerm;
			role = EndpointRole.Replica;
			following = undefined;
			notifyChanged();
			return answer(true);
		},
		promote(requestedTerm) {
			// A server that was made to follow another primary of the term must not become a second one: two logs would
			// then hold different entries at the same term and position, which no comparison of positions could detect.
			if (requestedTerm !== term || following?.term === requestedTerm) {
				return answer(false);
			}

			if (role !== EndpointRole.Primary) {
				role = EndpointRole.Primary;
				following = undefined;
				append({changes: []});
			}

			return answer(true);
		},
		follow(requestedTerm, primaryAddress) {
			const isPrimary = role === EndpointRole.Primary && term === requestedTerm;
			if (requestedTerm < term || isPrimary || primaryAddress === address) {
				return answer(false);
			}

			term = requestedTerm;
			role = EndpointRole.Replica;
			following = {term: requestedTerm, address: primaryAddress};
			notifyChanged();
			return answer(true);
		},
		append,
		receive(source, upTo) {
			for (let position = log.end.position + 1; position <= upTo; position++) {
				const entry = source.get(position)!;
				state.apply(entry.effect);
				log.push(entry);
			}

			notifyChanged();
		},
		truncate(position) {
			while (log.end.position > position) {
				state.revert(log.pop()!.effect);
			}

			notifyChanged();
		},
		async waitFor(position, waitMs) {
			if (holdsLogPosition(log.end, position)) {
				return;
			}

			const abort = new AbortController();
			const waiter: Waiter = {
				position,
				wake() {
					abort.abort();
				},
			};
			waiters.add(waiter);
			await clock.sleep(waitMs, abort.signal);
			waiters.delete(waiter);
		},
		setLeaving(value) {
			leaving = value;
		},
	};
}
