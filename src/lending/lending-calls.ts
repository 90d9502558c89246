import type {EndpointCommand, EndpointRequest, EndpointStatus} from '../links/endpoint-link.js';
import type {PreparedShape} from '../statements/statement.js';
import type {EndpointAnswer} from '../statements/statement-answer.js';
import type {LogPosition} from '../terms/log-position.js';

/** Why a host lends no connection. */
export const LoanRefusal = {
	/** None came free in the time that the borrower gave. */
	Busy: 'busy',
	/** The endpoint does not answer the lender, which should be asked again only later. */
	Unreachable: 'unreachable',
	/** The lender has no evidence of the primary in the borrower's epoch. */
	Unproven: 'unproven',
	/** The lender is stopping. */
	Stopping: 'stopping',
} as const;

/** One of the reasons in {@link LoanRefusal}. */
export type LoanRefusal = typeof LoanRefusal[keyof typeof LoanRefusal];

/** Asks for a connection to an endpoint. */
export type LoanRequest = {
	readonly endpointId: string;
	/** 0 goes first. */
	readonly priority: number;
	/** Longest wait for a connection to come free, in milliseconds. */
	readonly waitMs: number;
	/** Session values; a connection that has them set is preferred. */
	readonly values: ReadonlyArray<readonly [string, string]>;
	/** Workspace whose connections may serve it; undefined where there are no workspaces. */
	readonly workspace?: string;
	/** It serves one statement that leaves nothing open. */
	readonly single: boolean;
	/** What the endpoint's log must have held when the connection was opened; undefined where any will do. */
	readonly least?: LogPosition;
};

/** A connection that was lent, under an id that is never used twice, or why there is none. */
export type LoanAnswer = {readonly loan: string} | {readonly refused: LoanRefusal};

/** A request on a connection that was lent. */
export type LoanExchange = {
	readonly loan: string;
	/** Counts the loan's requests from 1: one that was lost on the way must not be passed over by the next. */
	readonly turn: number;
	/** What the session needs set and prepared first; undefined for what depends on neither. */
	readonly needed?: {readonly values: ReadonlyArray<readonly [string, string]>; readonly prepared?: PreparedShape};
	readonly request: EndpointRequest;
	/** The loan ends with the answer, where that leaves no transaction open. */
	readonly last: boolean;
};

/** A read that runs on whichever connection comes free first. */
export type LoanRun = LoanRequest & Pick<LoanExchange, 'needed' | 'request'> & {
	/** Epoch of the evidence under which it goes to a primary, which has to hold at the lender when it is sent; undefined where it goes to a replica. */
	readonly epoch?: number;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'loan-open': {req: LoanRequest; res: LoanAnswer};
		/**
		 * Answered without an answer of the endpoint where the connection ended under the request, which may have run. `over` says that the loan was over
		 * before: the request was not sent to the endpoint and never will be, and what was open on the connection is rolled back.
		 */
		'loan-exchange': {req: LoanExchange; res: {readonly answer?: EndpointAnswer; readonly over?: true}};
		/** Opens a loan for one read, runs it and ends the loan; answered as the opening or the exchange would be. */
		'loan-run': {req: LoanRun; res: {readonly refused: LoanRefusal} | {readonly answer?: EndpointAnswer; readonly over?: true}};
		/** Gives a connection back, or has it cut with all that is under way on it. */
		'loan-end': {req: {readonly loan: string; readonly cut: boolean}; res: {readonly ended: true}};
		/** Asks a host that keeps connections to a group's primary for the newest position that it saw there, and how long ago it asked for it. */
		'loan-sample': {req: {readonly group: string}; res: {readonly sample?: {readonly position: LogPosition; readonly ageMs: number}}};
		/** Asks an endpoint for its status on the borrower's behalf. */
		'loan-ask': {req: {readonly endpointId: string; readonly command: EndpointCommand; readonly timeoutMs: number}; res: {readonly status?: EndpointStatus}};
	}
}
