import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** What an endpoint answers to a caller's statement, in bytes of Latin-1. */
export type GivenAnswer = {readonly rows: readonly string[]; readonly end: string};

/** A statement that an endpoint received for a caller, with the session values that were set. */
export type ReceivedStatement = {
	readonly id: string;
	/** The text as it was received; that of EXECUTE has the access and shape of the prepared statement in place of its name. */
	readonly text: string;
	/** Undefined for the end of a transaction, which depends on none. */
	readonly values: Readonly<Record<string, string>> | undefined;
};

/** An endpoint that reads lines as the protocol says, and writes down what callers' statements it ran. */
export type TextEndpoint = {
	readonly address: string;
	readonly received: ReceivedStatement[];
	/** What must not happen: a setup command that is refused, or a message that is malformed. */
	readonly violations: string[];
	/** Answers to the next statements; those without one are completed. */
	readonly answers: GivenAnswer[];
	/** The largest message since the start, in bytes. */
	readonly maxBytes: number;
	stop(): void;
};

/** The statements that one message may hold, each with its fields; every byte but a blank belongs to a word, and the last field extends to the end. */
const MESSAGE = /^QUERY (?<id>[^ ]+) (?<text>.+)$/sv;
const SET = /^SET (?<name>[^ ]+) (?<value>.*)$/sv;
const PARSE = /^PARSE (?<name>[^ ]+) (?<access>READ|WRITE) (?<shape>.+)$/sv;
const EXECUTE = /^EXECUTE (?<name>[^ ]+)(?<args>| .*)$/sv;
const CLOSE = /^CLOSE (?<name>[^ ]+)$/sv;
const RUN = /^(?:READ|WRITE) .+$/sv;

const DONE: GivenAnswer = {rows: [], end: 'COMPLETE signed'};

/** Starts an endpoint on loopback. */
export async function startTextEndpoint(): Promise<TextEndpoint> {
	const received: ReceivedStatement[] = [];
	const violations: string[] = [];
	const answers: GivenAnswer[] = [];
	const sockets = new Set<Socket>();
	let maxBytes = 0;

	const serve = (socket: Socket) => {
		const values = new Map<string, string>();
		const names = new Map<string, string>();
		let state = 'I';
		let rest = '';

		const note = (id: string, text: string) => {
			received.push({id, text, values: Object.fromEntries(values)});
			return answers.shift() ?? DONE;
		};

		const end = (id: string, text: string) => {
			received.push({id, text, values: undefined});
			state = 'I';
			return DONE;
		};

		/** Runs what the proxy sends on its own behalf; returns undefined for anything else. */
		const setUp = (text: string): GivenAnswer | undefined => {
			const set = SET.exec(text)?.groups;
			const parse = PARSE.exec(text)?.groups;
			const close = CLOSE.exec(text)?.groups;
			if (set) {
				values.set(set.name!, set.value!);
			} else if (parse) {
				names.set(parse.name!, `${parse.access} ${parse.shape}`);
			} else if (close) {
				names.delete(close.name!);
			} else if (text === 'RESET') {
				values.clear();
				names.clear();
			} else {
				return undefined;
			}

			return {rows: [], end: 'COMPLETE -'};
		};

		const run = (id: string, text: string): GivenAnswer | undefined => {
			if (text === 'BEGIN' || text === 'BEGIN READ') {
				state = 'T';
				received.push({id, text, values: Object.fromEntries(values)});
				return DONE;
			}

			if (text === 'COMMIT' || text === 'ROLLBACK') {
				return end(id, text);
			}

			const execute = EXECUTE.exec(text)?.groups;
			const shape = execute && names.get(execute.name!);
			return shape === undefined ? (RUN.test(text) ? note(id, text) : undefined) : note(id, `EXECUTE ${shape}|${execute!.args}`);
		};

		const answer = (line: string) => {
			maxBytes = Math.max(maxBytes, line.length);
			if (line.startsWith('STARTUP ')) {
				socket.write('READY I -\r\n');
				return;
			}

			const {id = '', text = ''} = MESSAGE.exec(line)?.groups ?? {};
			const given = (id === '-' ? setUp(text) : undefined) ?? run(id, text);
			if (!given) {
				violations.push(line);
			}

			const {rows, end} = given ?? {rows: [], end: 'ERROR MALFORMED -'};
			socket.write(rows.map(row => `DATAROW ${row}\r\n`).join('') + `${end}\r\nREADY ${state} -\r\n`, 'latin1');
		};

		sockets.add(socket);
		socket.setNoDelay(true).setEncoding('latin1').on('error', () => undefined).on('data', (chunk: string) => {
			rest += chunk;
			const lines = rest.split('\r\n');
			rest = lines.pop()!;
			for (const line of lines) {
				answer(line);
			}
		});
	};

	const server: Server = createServer(serve);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		received,
		violations,
		answers,
		get maxBytes() {
			return maxBytes;
		},
		stop() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
