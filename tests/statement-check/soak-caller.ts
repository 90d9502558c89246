import type {Random} from '../../src/random/random.js';
import {openWireCaller, type WireCaller} from '../../src/stand-ins/plain-platform/wire-caller.js';
import type {CallerExchange, SessionRecord} from './check-statements.js';
import type {StatementTexts} from './statement-texts.js';

/** Options of a caller. */
export type SoakCallerOptions = {
	readonly name: string;
	readonly random: Random;
	readonly texts: StatementTexts;
	/** Returns the port of the process that serves the caller now; undefined while there is none. */
	getPort(): number | undefined;
	readonly databases: readonly string[];
	/** Number of operations after which it leaves; infinite for callers that stay until the process is gone. */
	readonly operations: number;
	/** Share of the statements that are filled up to the size limit. */
	readonly filledShare: number;
	/** Whether it sets session values; without them connections are never reset, and keep what is prepared on them. */
	readonly hasValues: boolean;
	/** Whether session values are also set inside transactions. */
	readonly setsInTransactions: boolean;
	isStopping(): boolean;
};

/** Time after which a caller gives up a statement that has no answer, in milliseconds; longer than any time limit of the platform here. */
const GIVE_UP_MS = 6000;

/** Longest pause between statements and between operations, in milliseconds. */
const MAX_PAUSE_MS = 15;

/** Time before a caller connects again, in milliseconds. */
const RECONNECT_MS = 40;

const MAX_TRANSACTION_STATEMENTS = 6;

/** Runs sessions one after the other, and returns what each sent and what it was told. */
export async function runSoakCaller(options: SoakCallerOptions): Promise<SessionRecord[]> {
	const {name, random, databases, getPort, isStopping} = options;
	const records: SessionRecord[] = [];
	while (!isStopping()) {
		const port = getPort();
		const database = databases[Math.floor(random.fraction() * databases.length)]!;
		const connection = port === undefined ? undefined : await openWireCaller(port, database);
		if (connection?.greeting.at(-1)?.startsWith('READY ') === true) {
			const session = createSession(options, connection, `${name}-${records.length}`);
			records.push({name: `${session.name} at ${port} on ${database}`, exchanges: session.exchanges});
			await useSession(options, session);
		}

		connection?.leave();
		await sleep(RECONNECT_MS);
	}

	return records;
}

type Session = {
	readonly name: string;
	readonly exchanges: CallerExchange[];
	readonly prepared: Set<string>;
	readonly closed: boolean;
	/** Sends a statement, which is made from its id; resolves with whether it succeeded. */
	ask(makeText: (id: string) => string): Promise<boolean>;
	/** State that the last answer told: I, T or E; undefined where there was none. */
	readonly state: string | undefined;
};

function createSession({isStopping}: SoakCallerOptions, connection: WireCaller, name: string): Session {
	const exchanges: CallerExchange[] = [];
	let state: string | undefined = 'I';
	return {
		name,
		exchanges,
		prepared: new Set(),
		get closed() {
			return connection.closed || connection.unsolicited !== undefined || state === undefined;
		},
		get state() {
			return state;
		},
		async ask(makeText) {
			if (isStopping() && state === 'I') {
				return false;
			}

			const id = `${name}-${exchanges.length}`;
			const exchange: CallerExchange = {id, text: makeText(id), answer: []};
			exchanges.push(exchange);
			const gaveUp = new AbortController();
			exchange.answer = await Promise.race([connection.ask(id, exchange.text), sleep(GIVE_UP_MS, gaveUp.signal).then(() => [])]);
			gaveUp.abort();
			state = /^READY (?<letter>[ITE]) /v.exec(exchange.answer.at(-1) ?? '')?.groups!.letter;
			return exchange.answer.at(-2)?.startsWith('COMPLETE ') === true;
		},
	};
}

async function useSession({random, texts, operations, filledShare, hasValues, setsInTransactions, isStopping}: SoakCallerOptions, session: Session) {
	const pause = async () => sleep(random.fraction() * MAX_PAUSE_MS);

	const pickPrepared = () => [...session.prepared][Math.floor(random.fraction() * session.prepared.size)];

	const execute = (id: string) => {
		const known = pickPrepared();
		return executeNamed(id, random.fraction() < 0.95 && known !== undefined ? known : texts.name());
	};

	const executeNamed = (id: string, name: string) => {
		const text = `EXECUTE ${name}`;
		if (random.fraction() < filledShare) {
			// Items that nobody else reads: a row of this size would not fit into a message.
			return texts.fill(id, `${text} filled-`);
		}

		return `${text} ${texts.args()}`;
	};

	const run = (id: string) => {
		const args = texts.args();
		const text = random.fraction() < 0.6 ? `READ ${args === '' ? 'i1' : args}` : `WRITE ${args === '' ? 'i1' : args}`;
		return random.fraction() < filledShare ? texts.fill(id, `READ filled-${text}`) : text;
	};

	const prepare = async () => {
		const name = texts.name();
		const isDone = await session.ask(() => `PARSE ${name} ${random.fraction() < 0.5 ? 'READ' : 'WRITE'} ${texts.shape()}`);
		if (!isDone) {
			return false;
		}

		session.prepared.add(name);
		if (hasValues) {
			return true;
		}

		// Connections that are not reset are to run many shapes, so that they close some.
		await session.ask(id => executeNamed(id, name));
		return true;
	};

	const forget = async () => {
		const name = pickPrepared() ?? 's1';
		session.prepared.delete(name);
		return session.ask(() => `CLOSE ${name}`);
	};

	const set = async () => session.ask(() => `SET ${texts.value()}`);

	/** Returns whether the session may go on: after a refused SET, PARSE or CLOSE, and outside the state I, a caller terminates it. */
	const transact = async () => {
		if (!await session.ask(() => random.fraction() < 0.3 ? 'BEGIN READ' : 'BEGIN')) {
			return session.state === 'I';
		}

		const count = 1 + Math.floor(random.fraction() * MAX_TRANSACTION_STATEMENTS);
		for (let i = 0; i < count && session.state === 'T'; i++) {
			await pause();
			if (random.fraction() < 0.15) {
				if (!await (hasValues && setsInTransactions && random.fraction() < 0.5 ? set() : prepare())) {
					return false;
				}
			} else {
				await session.ask(random.fraction() < 0.5 ? execute : run);
			}
		}

		if (session.closed || random.fraction() < 0.08) {
			return false;
		}

		await pause();
		if (session.state !== 'I') {
			await session.ask(() => session.state === 'T' && random.fraction() < 0.75 ? 'COMMIT' : 'ROLLBACK');
		}

		return session.state === 'I';
	};

	const single = async (makeText: (id: string) => string) => {
		await session.ask(makeText);
		return session.state === 'I';
	};

	const operate = async () => {
		const kind = random.fraction();
		if (kind < 0.1) {
			return hasValues ? set() : prepare();
		}

		if (kind < 0.28) {
			return prepare();
		}

		if (kind < 0.31) {
			return forget();
		}

		if (kind < 0.65) {
			return session.prepared.size === 0 ? prepare() : single(execute);
		}

		return kind < 0.82 ? single(run) : transact();
	};

	for (let i = 0; i < operations && !isStopping(); i++) {
		if (session.closed || !await operate() || session.state !== 'I') {
			return;
		}

		await pause();
	}
}

async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		const timer = setTimeout(resolve, ms);
		signal?.addEventListener('abort', () => {
			clearTimeout(timer);
			resolve();
		});
	});
}
