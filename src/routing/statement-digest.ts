import {createHash} from 'node:crypto';

/** Hash of a statement with its values, by which a second try of a request is told from another request. */
export function getStatementDigest(statement: string, values: readonly unknown[]): string {
	return createHash('sha256').update(JSON.stringify([statement, values])).digest('base64url');
}
