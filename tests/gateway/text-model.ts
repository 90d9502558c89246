import type {CallerAnswer} from './text-bench.js';
import type {GivenAnswer, ReceivedStatement} from './text-endpoint.js';

/** A request of a caller. */
export type CallerRequestText = {readonly id: string; readonly text: string};

/** What a caller is expected to get; of an error of the proxy's own only the code. */
export type ExpectedAnswer = CallerAnswer & {readonly isOwnError?: true};

/** What an endpoint and a caller are expected to see. */
export type ExpectedConversation = {
	readonly received: readonly ReceivedStatement[];
	readonly answers: readonly ExpectedAnswer[];
};

const RUN = /^(?:READ|WRITE) .+$/sv;
const EXECUTE = /^EXECUTE (?<name>[^ ]+)(?<args>| .*)$/sv;
const SET = /^SET (?<name>[^ ]+) (?<value>.*)$/sv;
const PARSE = /^PARSE (?<name>[^ ]+) (?<access>READ|WRITE) (?<shape>.+)$/sv;
const CLOSE = /^CLOSE (?<name>.+)$/sv;

/** Returns what follows from the protocol for the requests of one session, where the endpoint gives these answers in turn. */
export function expectConversation(requests: readonly CallerRequestText[], given: readonly GivenAnswer[]): ExpectedConversation {
	const left = [...given];
	const received: ReceivedStatement[] = [];
	const answers: ExpectedAnswer[] = [];
	const values = new Map<string, string>();
	const prepared = new Map<string, string>();
	/** The open transaction: the request that began it, and whether the endpoint knows of it. */
	let transaction: (CallerRequestText & {isBegun: boolean}) | undefined;
	let failed = false;

	const getState = () => transaction ? (failed ? 'E' : 'T') : 'I';
	const getValues = () => Object.fromEntries(values);

	const answer = (end: string, rows: readonly string[] = []) => {
		answers.push({rows, end, state: getState()});
	};

	const refuse = (code: string) => {
		answers.push({
			rows: [], end: `ERROR ${code}`, state: getState(), isOwnError: true,
		});
	};

	const begin = () => {
		if (transaction && !transaction.isBegun) {
			transaction.isBegun = true;
			received.push({id: transaction.id, text: transaction.text, values: getValues()});
		}
	};

	const rollBack = (id: string) => {
		if (transaction?.isBegun) {
			received.push({id, text: 'ROLLBACK', values: undefined});
			transaction.isBegun = false;
		}
	};

	const run = (id: string, text: string) => {
		begin();
		received.push({id, text, values: getValues()});
		const {rows, end} = left.shift() ?? {rows: [], end: 'COMPLETE signed'};
		if (transaction && end.startsWith('ERROR')) {
			failed = true;
			rollBack('-');
		}

		answer(end, rows);
	};

	const commit = (id: string) => {
		if (!transaction) {
			refuse('MALFORMED');
			return;
		}

		if (failed) {
			rollBack('-');
			transaction = undefined;
			refuse('ABORTED');
			return;
		}

		begin();
		received.push({id, text: 'COMMIT', values: undefined});
		transaction = undefined;
		answer('COMPLETE signed');
	};

	const execute = (id: string, name: string, args: string) => {
		const shape = prepared.get(name);
		if (shape !== undefined) {
			run(id, `EXECUTE ${shape}|${args}`);
			return;
		}

		failed = transaction !== undefined;
		refuse('NOSUCHSTMT');
	};

	/** Performs what changes only the session; returns whether it did. */
	const setUp = (text: string): boolean => {
		const set = SET.exec(text)?.groups;
		const parse = PARSE.exec(text)?.groups;
		const close = CLOSE.exec(text)?.groups;
		if (set) {
			values.set(set.name!, set.value!);
		} else if (parse) {
			prepared.set(parse.name!, `${parse.access} ${parse.shape}`);
		} else if (close) {
			prepared.delete(close.name!);
		}

		return [set, parse, close].some(Boolean);
	};

	const perform = (request: CallerRequestText) => {
		const {id, text} = request;
		const executed = EXECUTE.exec(text)?.groups;
		if (text === 'COMMIT') {
			commit(id);
		} else if (text === 'ROLLBACK') {
			rollBack(id);
			transaction = undefined;
			answer('COMPLETE -');
		} else if (failed) {
			refuse('MALFORMED');
		} else if (text === 'BEGIN' || text === 'BEGIN READ') {
			if (transaction) {
				refuse('MALFORMED');
			} else {
				transaction = {...request, isBegun: false};
				answer('COMPLETE -');
			}
		} else if (RUN.test(text)) {
			run(id, text);
		} else if (executed) {
			execute(id, executed.name!, executed.args!);
		} else if (setUp(text)) {
			answer('COMPLETE -');
		} else {
			refuse('MALFORMED');
		}
	};

	for (const request of requests) {
		perform(request);
		failed &&= transaction !== undefined;
	}

	rollBack('-');
	return {received, answers};
}
