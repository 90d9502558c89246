import ModernError from 'modern-errors';

/** Codes of the errors with which the stand-in server ends an exchange; the PostgreSQL listener sends them as SQLSTATE. */
export const DatabaseErrorCode = {
	/** The server or the connection ended during the exchange. */
	ConnectionLost: '57P01',
	/** The server has reached its connection limit. */
	TooManyConnections: '53300',
	/** A request key was in flight for longer than the exchange may wait. */
	LockTimeout: '55P03',
	/** The statement is invalid or conflicts with another transaction. */
	Statement: '42000',
	/** A statement was received after the transaction had failed. */
	TransactionFailed: '25P02',
	/** The server is not primary at the transaction's term. */
	NotPrimary: '25006',
} as const;

/** One of the codes in {@link DatabaseErrorCode}. */
export type DatabaseErrorCode = typeof DatabaseErrorCode[keyof typeof DatabaseErrorCode];

/** The stand-in server ended an exchange with an error instead of an answer. */
export const DatabaseError = ModernError.subclass('DatabaseError', {
	props: {code: DatabaseErrorCode.Statement as DatabaseErrorCode},
});

/** Narrows to a DatabaseError. */
export function isDatabaseError(err: unknown): err is InstanceType<typeof DatabaseError> & {code: DatabaseErrorCode} {
	return err instanceof DatabaseError;
}

/** @internal */
export function throwStatementError(message: string): never {
	throw new DatabaseError(message, {props: {code: DatabaseErrorCode.Statement}});
}

/** @internal */
export function throwConnectionLost(address: string): never {
	throw new DatabaseError(`${address} closed the connection`, {props: {code: DatabaseErrorCode.ConnectionLost}});
}

/** @internal */
export function throwTooManyConnections(address: string): never {
	throw new DatabaseError(`${address} grants no more connections`, {props: {code: DatabaseErrorCode.TooManyConnections}});
}

/** @internal */
export function throwLockTimeout(): never {
	throw new DatabaseError('canceling statement due to lock timeout', {props: {code: DatabaseErrorCode.LockTimeout}});
}
