import type {EndpointCommand} from '../../links/endpoint-link.js';
import type {PreparedShape} from '../../statements/statement.js';
import type {AnswerEnd} from '../../statements/statement-answer.js';

/** A request that a server performed or refused, as the server itself saw it. */
export type RanStatement = {
	/** Id of the server. */
	readonly server: string;
	/** Number of the connection, unique in its group. */
	readonly connection: number;
	readonly id: string;
	/** The line as it arrived, without its end; undefined where the request arrived in memory. */
	readonly line?: string;
	readonly command: EndpointCommand;
	/** What the server had prepared under the name that is executed; undefined for other commands and for an unknown name. */
	readonly shape?: PreparedShape;
	/** Session values in force after the request. */
	readonly values: ReadonlyMap<string, string>;
	/** Number of the transaction that the request belongs to, begins or ends, unique in its group; undefined outside one. */
	readonly transaction?: number;
	/** Ids of the writes that the request committed. */
	readonly committed: readonly string[];
	readonly rows: readonly string[];
	readonly end: AnswerEnd;
};
