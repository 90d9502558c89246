import {setImmediate as nextTurn} from 'node:timers/promises';
import type {EndpointLink, EndpointRequest} from '../../src/links/endpoint-link.js';
import {createLinkLost} from '../../src/links/link-errors.js';
import {formatRequest} from '../../src/platform/endpoint-lines.js';
import {SessionState} from '../../src/statements/statement.js';
import {AnswerCode, type AnswerEnd, type EndpointAnswer} from '../../src/statements/statement-answer.js';

/** A prepared statement that the endpoint ran. */
export type ExecutedShape = {readonly id: string; readonly access: string; readonly shape: string; readonly args: string | undefined};

/** A connection to an endpoint that reads its lines as the protocol says: words separated by one blank, the last field up to the end of the line. */
export type LineEndpoint = {
	readonly link: EndpointLink;
	readonly lines: string[];
	readonly executed: ExecutedShape[];
	/** Names that are prepared. */
	readonly names: ReadonlyMap<string, {readonly access: string; readonly shape: string}>;
	/** Lines for which this returns true are answered with an error. */
	refuses(line: string): boolean;
	/** Lines for which this returns true are answered only after the next ones. */
	answersLate(line: string): boolean;
	/** State of the connection after each answer. */
	state: SessionState;
};

/** Creates such a connection. */
export function createLineEndpoint(): LineEndpoint {
	const names = new Map<string, {readonly access: string; readonly shape: string}>();
	const executed: ExecutedShape[] = [];
	const lines: string[] = [];
	const closeListeners: Array<() => void> = [];
	let closed = false;

	const close = () => {
		closed = true;
		for (const listener of closeListeners) {
			listener();
		}
	};

	const execute = (id: string, name: string, args: string | undefined): AnswerEnd => {
		const prepared = names.get(name);
		if (!prepared) {
			return {kind: 'error', code: AnswerCode.UnknownStatement, text: name};
		}

		executed.push({id, ...prepared, args});
		return {kind: 'complete', signature: `sign-${id}`};
	};

	const perform = (line: string): AnswerEnd => {
		const [, id = '', text = ''] = splitWords(line, 3);
		const [keyword = ''] = splitWords(text, 2);
		switch (keyword) {
			case 'PARSE': {
				const [, name = '', access = '', shape = ''] = splitWords(text, 4);
				names.set(name, {access, shape});
				return {kind: 'complete'};
			}

			case 'EXECUTE': {
				const [, name = '', args] = splitWords(text, 3);
				return execute(id, name, args);
			}

			case 'CLOSE': {
				names.delete(text.slice('CLOSE '.length));
				return {kind: 'complete'};
			}

			case 'RESET': {
				names.clear();
				return {kind: 'complete'};
			}

			default: {
				return {kind: 'complete'};
			}
		}
	};

	const endpoint: LineEndpoint = {
		link: {
			get pending() {
				return 0;
			},
			get closed() {
				return closed;
			},
			async exchange(req: EndpointRequest): Promise<EndpointAnswer> {
				if (closed) {
					throw createLinkLost('10.1.0.9:8080', 'it had ended before');
				}

				const line = formatRequest(req).slice(0, -'\r\n'.length);
				lines.push(line);
				const end: AnswerEnd = endpoint.refuses(line) ? {kind: 'error', code: AnswerCode.Failed, text: ''} : perform(line);
				if (endpoint.answersLate(line)) {
					await nextTurn();
				}

				return {rows: [], end, state: endpoint.state};
			},
			async readStatus() {
				throw createLinkLost('10.1.0.9:8080', 'it reports no status');
			},
			cut: close,
			close,
			onClose(listener) {
				closeListeners.push(listener);
			},
		},
		lines,
		executed,
		names,
		refuses: () => false,
		answersLate: () => false,
		state: SessionState.Idle,
	};
	return endpoint;
}

/** Splits a line into words of which the last one extends to the end of the line. */
function splitWords(line: string, count: number): readonly string[] {
	const words = line.split(' ');
	return words.length <= count ? words : [...words.slice(0, count - 1), words.slice(count - 1).join(' ')];
}
