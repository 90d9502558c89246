import {createHash} from 'node:crypto';

/** Returns the hash of a statement and its values, which distinguishes a retry of a request from another request with the same id. */
export function getStatementDigest(statement: string, values: readonly unknown[]): string {
	return createHash('sha256').update(JSON.stringify([statement, values])).digest('base64url');
}
