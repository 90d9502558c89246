import {KeyedWriteResult, type EndpointStatus, type KeyedWriteAnswer} from '../../endpoints/endpoint.js';
import type {KeyRecord} from './database-state.js';

/** Returns the record of a request key as the answer to a write with the digest, or to a resolve if `digest` is undefined. */
export function getRecordAnswer(record: KeyRecord, digest: string | undefined, status: EndpointStatus): KeyedWriteAnswer {
	if (record.kind === 'tombstone') {
		return {result: KeyedWriteResult.Tombstone, status};
	}

	if (digest !== undefined && digest !== record.digest) {
		return {result: KeyedWriteResult.Mismatch, status};
	}

	return {result: KeyedWriteResult.Found, rows: record.rows, status};
}
