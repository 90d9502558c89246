import {
	EndpointRole, type EndpointStatus, type TermAnswer,
} from '../../endpoints/endpoint.js';
import {holdsLogPosition, type LogPosition} from '../../terms/log-position.js';
import type {Clock} from '../../time/clock.js';
import {createDatabaseLog, type DatabaseLog} from './database-log.js';
import {createDatabaseState, type DatabaseState, type LogEffect} from './database-state.js';

/** The primary that a replica pulls from, and the term in which it was told to. */
export type Following = {readonly term: number; readonly address: string};

/** What a server keeps as on a disk: its log and what it amounts to, the promised term, and its role. */
export type GroupMember = {
	readonly address: string;
	readonly log: DatabaseLog;
	readonly state: DatabaseState;
	readonly following: Following | undefined;
	getStatus(): EndpointStatus;
	/** Tells whether the server takes writes of the term. */
	isPrimaryAt(term: number): boolean;
	fence(term: number): TermAnswer;
	promote(term: number): TermAnswer;
	follow(term: number, address: string): TermAnswer;
	/** Writes the next entry at the promised term; for a primary. */
	append(effect: LogEffect): void;
	/** Takes entries after the log's end up to a position from a primary's log; for a replica. */
	receive(source: DatabaseLog, upTo: number): void;
	/** Removes the entries after a position and takes back what they did. */
	truncate(position: number): void;
	/** Resolves once the log holds the position, or after `waitMs`. */
	waitFor(position: LogPosition, waitMs: number): Promise<void>;
	setLeaving(leaving: boolean): void;
};

/** What a group member needs. */
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
	let following: Following | undefined;

	const getStatus = (): EndpointStatus => {
		const {end} = log;
		return {
			term, log: {term: end.term, position: end.position}, role, leaving,
		};
	};

	const answer = (granted: boolean): TermAnswer => ({granted, status: getStatus()});

	const changed = () => {
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
		changed();
	};

	return {
		address,
		log,
		state,
		get following() {
			return following;
		},
		getStatus,
		isPrimaryAt: asked => role === EndpointRole.Primary && term === asked,
		fence(asked) {
			if (asked <= term) {
				return answer(false);
			}

			term = asked;
			role = EndpointRole.Replica;
			following = undefined;
			changed();
			return answer(true);
		},
		promote(asked) {
			// A server that was told to follow another primary of the term must not become a second one: two logs
			// would then carry different entries under the same term and position, and no comparison could tell.
			if (asked !== term || following?.term === asked) {
				return answer(false);
			}

			if (role !== EndpointRole.Primary) {
				role = EndpointRole.Primary;
				following = undefined;
				append({changes: []});
			}

			return answer(true);
		},
		follow(asked, primary) {
			const isPrimary = role === EndpointRole.Primary && term === asked;
			if (asked < term || isPrimary || primary === address) {
				return answer(false);
			}

			term = asked;
			role = EndpointRole.Replica;
			following = {term: asked, address: primary};
			changed();
			return answer(true);
		},
		append,
		receive(source, upTo) {
			for (let position = log.end.position + 1; position <= upTo; position++) {
				const entry = source.get(position)!;
				state.apply(entry.effect);
				log.push(entry);
			}

			changed();
		},
		truncate(position) {
			while (log.end.position > position) {
				state.revert(log.pop()!.effect);
			}

			changed();
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
