import {isEndpointError} from '../../../src/endpoints/endpoint-errors.js';
import type {
	EndpointConnection, Endpoints, EndpointStatus, FloorReadAnswer, KeyedWriteAnswer, StatementAnswer, TermAnswer,
} from '../../../src/endpoints/endpoint.js';
import type {DatabaseGroup} from '../../../src/stand-ins/database/database-group.js';
import {LOG_START, type LogPosition} from '../../../src/terms/log-position.js';

/** A stand-in group of three servers and the endpoints that reach it. */
export type ContractHarness = {
	readonly group: DatabaseGroup;
	readonly endpoints: Endpoints;
	/** Advances time until the promise settles. */
	settle<T>(promise: Promise<T>): Promise<T>;
	stop(): Promise<void>;
};

/** Timeout of exchanges that are expected to get an answer, in milliseconds. */
export const TIMEOUT_MS = 1000;
/** Inserts a row into `nights` and returns it. */
export const INSERT = 'INSERT INTO nights (member, score) VALUES ($1, $2) RETURNING member, score';
/** Selects the rows of one member. */
export const SELECT = 'SELECT member, score FROM nights WHERE member = $1 ORDER BY score';

/** The steps of a test; each returns its outcome as one line of text. */
export class ContractSteps {
	constructor(readonly harness: ContractHarness, private readonly connections: readonly EndpointConnection[]) {}

	/** Returns a connection: 0 to the primary, 1 and 2 to the replicas, 3 a second one to the primary. */
	at(index: number): EndpointConnection {
		return this.connections[index]!;
	}

	async status(index: number) {
		return formatStatus(await this.settle(this.at(index).status(TIMEOUT_MS)));
	}

	async waitFor(index: number, position: LogPosition, waitMs = 500) {
		return formatStatus(await this.settle(this.at(index).waitFor(position, waitMs, TIMEOUT_MS)));
	}

	async fence(index: number, term: number) {
		return formatTerm(await this.settle(this.at(index).fence(term, TIMEOUT_MS)));
	}

	async promote(index: number, term: number) {
		return formatTerm(await this.settle(this.at(index).promote(term, TIMEOUT_MS)));
	}

	async follow(index: number, term: number, primary: number) {
		const {address} = this.harness.group.servers[primary]!;
		return formatTerm(await this.settle(this.at(index).follow(term, address, TIMEOUT_MS)));
	}

	async insert(index: number, requestId: string, values: readonly unknown[], term = 1) {
		return this.write(index, requestId, INSERT, values, term);
	}

	async write(index: number, requestId: string, statement: string, values: readonly unknown[], term = 1) {
		const digest = JSON.stringify([statement, values]);
		return formatKeyed(await this.settle(this.at(index).write({
			requestId, digest, statement, values, term,
		}, TIMEOUT_MS)));
	}

	async resolve(index: number, requestId: string, term = 1) {
		return formatKeyed(await this.settle(this.at(index).resolve(requestId, term, TIMEOUT_MS)));
	}

	async read(index: number, member: string, floor: LogPosition = LOG_START) {
		return this.readStatement(index, SELECT, [member], floor);
	}

	async readStatement(index: number, statement: string, values: readonly unknown[], floor: LogPosition = LOG_START) {
		return formatRead(await this.settle(this.at(index).read({statement, values, floor}, TIMEOUT_MS)));
	}

	async begin(index: number, requestId: string, term = 1) {
		return formatKeyed(await this.settle(this.at(index).begin({requestId, digest: 'transaction', term}, TIMEOUT_MS)));
	}

	async run(index: number, statement: string, values: readonly unknown[]) {
		return formatRun(await this.settle(this.at(index).run(statement, values, TIMEOUT_MS)));
	}

	async commit(index: number) {
		return formatKeyed(await this.settle(this.at(index).commit(TIMEOUT_MS)));
	}

	async rollback(index: number) {
		await this.settle(this.at(index).rollback(TIMEOUT_MS));
		return 'rolled back';
	}

	/** Returns whether an exchange that should get no answer was answered, or how it failed. */
	async describeFailure(promise: Promise<unknown>) {
		try {
			await this.settle(promise);
			return 'answered';
		} catch (err) {
			return isEndpointError(err) ? `no answer, sent ${err.sent}` : String(err);
		}
	}

	private async settle<T>(promise: Promise<T>) {
		return this.harness.settle(promise);
	}
}

/** Formats a status as `role term/position of promised`, where `promised` is the promised term. */
export function formatStatus({role, log, term, leaving}: EndpointStatus) {
	return `${role} ${log.term}/${log.position} of ${term}${leaving ? ' leaving' : ''}`;
}

function formatTerm({granted, status}: TermAnswer) {
	return `${granted ? 'granted' : 'refused'} ${formatStatus(status)}`;
}

/** Formats the answer to a keyed write or a resolve. */
export function formatKeyed({result, rows, message, status}: KeyedWriteAnswer) {
	return [result, rows && JSON.stringify(rows), message && `"${message}"`, formatStatus(status)].filter(Boolean).join(' ');
}

function formatRead({held, lost, rows, message, status}: FloorReadAnswer) {
	const behind = lost ? 'lost' : 'behind';
	return [held ? 'held' : behind, JSON.stringify(rows), message && `"${message}"`, formatStatus(status)].filter(Boolean).join(' ');
}

function formatRun({rows, message}: StatementAnswer) {
	return [JSON.stringify(rows), message && `"${message}"`].filter(Boolean).join(' ');
}
