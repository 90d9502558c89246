import type {EndpointConnection, EndpointStatus} from '../../endpoints/endpoint.js';
import {createExchangeRunner} from '../../endpoints/exchange-runner.js';
import type {Clock} from '../../time/clock.js';
import type {DatabaseSession} from './database-session.js';
import type {GroupMember} from './group-member.js';
import {ExchangeKind} from './exchange-kind.js';
import type {Link} from './link-faults.js';
import {waitForever} from './wait-forever.js';

/** Options of {@link createInMemoryConnection}. */
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

	const runner = createExchangeRunner({
		address,
		clock,
		async onEnd() {
			await link.transmit(epoch);
			await session.close();
		},
	});

	const runOverLink = async <T>(kind: ExchangeKind, work: () => T | Promise<T>) => {
		await link.transmit(epoch);
		const answer = await session.exchange(kind, work);
		if (link.consumeDroppedAnswer(kind)) {
			await waitForever();
		}

		await link.transmit(epoch);
		return answer;
	};

	const exchange = async <T>(kind: ExchangeKind, timeoutMs: number, work: () => T | Promise<T>): Promise<T> =>
		runner.run(kind, timeoutMs, async () => runOverLink(kind, work));

	const destroy = () => {
		runner.end('the connection was destroyed');
	};

	session.onDrop(async () => {
		await link.transmit(epoch);
		runner.end(`${address} closed the connection`);
	});

	const getStatus = (): EndpointStatus => member.getStatus();

	return {
		get usable() {
			return runner.usable;
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
