import {EndpointError, throwNoAnswer, throwNotConnected} from '../../endpoints/endpoint-errors.js';
import type {EndpointConnection, EndpointStatus} from '../../endpoints/endpoint.js';
import type {Clock} from '../../time/clock.js';
import {withinMs} from '../../time/deadline.js';
import type {DatabaseSession} from './database-session.js';
import type {GroupMember} from './group-member.js';
import {ExchangeKind} from './exchange-kind.js';
import type {Link} from './link-faults.js';
import {never} from './never.js';

/** What an in-memory connection joins. */
export type InMemoryConnectionOptions = {
	readonly address: string;
	readonly session: DatabaseSession;
	readonly member: GroupMember;
	readonly link: Link;
	readonly clock: Clock;
};

/** Creates the client's end of a connection to a stand-in server. */
export function createInMemoryConnection({address, session, member, link, clock}: InMemoryConnectionOptions): EndpointConnection {
	const {backend} = session;
	const {epoch} = link;
	let usable = true;
	let loseCurrent: ((cause: unknown) => void) | undefined;

	const lose = (cause: unknown) => {
		usable = false;
		loseCurrent?.(cause);
	};

	const closeServerEnd = async () => {
		await link.carry(epoch);
		session.close();
	};

	const destroy = () => {
		if (usable) {
			lose('the connection was destroyed');
			void closeServerEnd();
		}
	};

	const cross = async <T>(kind: ExchangeKind, work: () => T | Promise<T>) => {
		await link.carry(epoch);
		const answer = await session.exchange(kind, work);
		if (link.takeDroppedAnswer(kind)) {
			await never();
		}

		await link.carry(epoch);
		return answer;
	};

	const crossUnlessLost = async <T>(kind: ExchangeKind, work: () => T | Promise<T>) => new Promise<T>((resolve, reject) => {
		loseCurrent = reject;
		cross(kind, work).then(resolve, reject);
	});

	const exchange = async <T>(kind: ExchangeKind, timeoutMs: number, work: () => T | Promise<T>): Promise<T> => {
		if (!usable) {
			throwNotConnected(address, 'the connection is not usable');
		}

		if (loseCurrent) {
			throw new EndpointError(`the connection to ${address} is busy with another exchange`);
		}

		try {
			const answer = await withinMs(clock, timeoutMs, crossUnlessLost(kind, work));
			return answer.timedOut ? throwNoAnswer(address, kind, `nothing within ${timeoutMs} ms`) : answer.value;
		} catch (err) {
			destroy();
			throw err instanceof EndpointError ? err : toNoAnswer(address, kind, err);
		} finally {
			loseCurrent = undefined;
		}
	};

	session.onDrop(async () => {
		await link.carry(epoch);
		lose(`${address} closed the connection`);
	});

	const getStatus = (): EndpointStatus => member.getStatus();

	return {
		get usable() {
			return usable;
		},
		status: async timeoutMs => exchange(ExchangeKind.Status, timeoutMs, getStatus),
		waitFor: async (position, waitMs, timeoutMs) => exchange(ExchangeKind.WaitFor, timeoutMs, async () => {
			await member.waitFor(position, waitMs);
			return getStatus();
		}),
		fence: async (term, timeoutMs) => exchange(ExchangeKind.Fence, timeoutMs, () => member.fence(term)),
		promote: async (term, timeoutMs) => exchange(ExchangeKind.Promote, timeoutMs, () => member.promote(term)),
		follow: async (term, primary, timeoutMs) => exchange(ExchangeKind.Follow, timeoutMs, () => member.follow(term, primary)),
		write: async (write, timeoutMs) => exchange(ExchangeKind.Write, timeoutMs, async () => backend.write(write, timeoutMs)),
		resolve: async (requestId, term, timeoutMs) => exchange(ExchangeKind.Resolve, timeoutMs, async () => backend.resolve(requestId, term, timeoutMs)),
		read: async (read, timeoutMs) => exchange(ExchangeKind.Read, timeoutMs, async () => backend.read(read)),
		begin: async (key, timeoutMs) => exchange(ExchangeKind.Begin, timeoutMs, async () => backend.begin(key, timeoutMs)),
		run: async (statement, values, timeoutMs) => exchange(ExchangeKind.Run, timeoutMs, async () => backend.run(statement, values)),
		commit: async timeoutMs => exchange(ExchangeKind.Commit, timeoutMs, async () => backend.commit()),
		rollback: async timeoutMs => exchange(ExchangeKind.Rollback, timeoutMs, () => {
			backend.rollback();
		}),
		async close() {
			destroy();
		},
		destroy,
	};
}

function toNoAnswer(address: string, kind: ExchangeKind, cause: unknown) {
	return new EndpointError(`${address} gave no answer to ${kind}`, {cause, props: {sent: true}});
}
