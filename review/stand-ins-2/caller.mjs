import {connect} from 'node:net';
import {createLineSplitter} from './wire.mjs';

/** Time for which a caller waits for its session to open, in milliseconds. */
const OPEN_TIMEOUT_MS = 2000;

/**
 * Opens a session as the platform's clients do. Resolves with undefined where the host does not greet it in time.
 *
 * `ask` sends a statement and resolves with its answer: the rows, the signature of a success, the code of an error, or nothing of both where the connection ended.
 */
export async function openSession({host, port}, database, user = 'u1') {
	const socket = connect({host, port, noDelay: true});
	const split = createLineSplitter();
	let lines = [];
	let resolveAnswer;
	let closed = false;

	const finish = () => {
		resolveAnswer?.(lines);
		resolveAnswer = undefined;
		lines = [];
	};

	socket.setEncoding('latin1');
	socket.on('data', chunk => {
		for (const line of split(chunk)) {
			if (!resolveAnswer) {
				// A message that answers nothing: the client ends its session.
				socket.end('TERMINATE\r\n');
				return;
			}

			lines.push(line);
			if (line.startsWith('READY ')) {
				finish();
			}
		}
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		closed = true;
		finish();
	});

	const exchange = async text => {
		if (closed) {
			return [];
		}

		return new Promise(resolve => {
			resolveAnswer = resolve;
			socket.write(text, 'latin1');
		});
	};

	const timer = setTimeout(() => socket.destroy(), OPEN_TIMEOUT_MS);
	const greeting = await exchange(`STARTUP ${database} ${user}\r\n`);
	clearTimeout(timer);
	if (!greeting.at(-1)?.startsWith('READY ')) {
		socket.destroy();
		return undefined;
	}

	return {
		async ask(id, text) {
			const answer = await exchange(`QUERY ${id} ${text}\r\n`);
			const signature = answer.find(line => line.startsWith('COMPLETE '))?.slice('COMPLETE '.length);
			const code = answer.find(line => line.startsWith('ERROR '))?.split(' ')[1];
			return {
				rows: answer.filter(line => line.startsWith('DATAROW ')).map(line => line.slice('DATAROW '.length)),
				signature: code === undefined ? signature : undefined,
				code,
			};
		},
		get closed() {
			return closed;
		},
		leave() {
			socket.end('TERMINATE\r\n');
		},
	};
}
