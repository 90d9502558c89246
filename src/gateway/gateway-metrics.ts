import type {EndpointRole} from '../endpoints/endpoint.js';
import type {AnswerCode} from '../statements/statement-answer.js';

/** Counts what callers get. No label holds a caller's value, so that their number stays bounded. */
export type GatewayMetrics = {
	/** A statement has its answer. */
	observeStatement(kind: string, outcome: 'done' | AnswerCode, seconds: number): void;
	/** A statement waited so long for a connection to an endpoint. */
	observeLinkWait(seconds: number): void;
	/** An endpoint in that role ran a read. */
	countRead(role: EndpointRole): void;
	/** A read was tried again, and why. */
	countRetry(reason: string): void;
	/** Work was judged again by newer evidence than it began under. */
	countSecondJudgement(outcome: 'kept' | 'unknown'): void;
	setSessions(open: number): void;
};
