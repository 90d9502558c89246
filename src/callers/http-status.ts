import {RefusalCode} from '../refusals/refusal.js';
import {Outcome, type CallerResponse} from './caller-response.js';

/** HTTP status of a response whose outcome is `not-run`, by the code of its refusal. */
const NOT_RUN_STATUS: Readonly<Record<RefusalCode, number>> = {
	[RefusalCode.Malformed]: 400,
	[RefusalCode.BadToken]: 400,
	[RefusalCode.AgeOverLimit]: 400,
	[RefusalCode.UnknownGroup]: 404,
	[RefusalCode.KeyExpired]: 409,
	[RefusalCode.RequestMismatch]: 409,
	[RefusalCode.Resolved]: 409,
	[RefusalCode.WriteLost]: 409,
	[RefusalCode.InProgress]: 409,
	[RefusalCode.TransactionUnknown]: 409,
	[RefusalCode.TransactionEnded]: 409,
	[RefusalCode.TransactionBusy]: 409,
	// The request was well formed and was sent to the server, which rejected its content.
	[RefusalCode.StatementFailed]: 422,
	[RefusalCode.RetryBudget]: 429,
	[RefusalCode.QueueFull]: 429,
	[RefusalCode.DeadlineTooShort]: 429,
	[RefusalCode.DeadlinePassed]: 503,
	[RefusalCode.HostLeaving]: 503,
	[RefusalCode.HostFault]: 503,
	[RefusalCode.NoConfiguration]: 503,
	[RefusalCode.NoOwner]: 503,
	[RefusalCode.NoPrimary]: 503,
	[RefusalCode.NoEndpoint]: 503,
	[RefusalCode.NoConnection]: 503,
	[RefusalCode.NotConfirmed]: 503,
	[RefusalCode.PrimarySuperseded]: 503,
	[RefusalCode.FloorNotReached]: 503,
	[RefusalCode.EndpointSilent]: 503,
	[RefusalCode.OwnerSilent]: 503,
	[RefusalCode.Delayed]: 503,
};

const STATUS_DONE = 200;
const STATUS_UNKNOWN = 504;
const STATUS_NOT_RUN = 503;

/** Returns the HTTP status of a response. Only `done` is 2xx, and 504 always means that the request may have run. */
export function getHttpStatus(response: Pick<CallerResponse, 'outcome' | 'refusal'>): number {
	if (response.outcome === Outcome.Done) {
		return STATUS_DONE;
	}

	if (response.outcome === Outcome.Unknown) {
		return STATUS_UNKNOWN;
	}

	return response.refusal ? NOT_RUN_STATUS[response.refusal.code] : STATUS_NOT_RUN;
}

/** Returns the value of the `Retry-After` header: the delay in whole seconds, rounded up. */
export function getRetryAfterSeconds(retryAfterMs: number): number {
	return Math.ceil(retryAfterMs / 1000);
}
