import * as z from 'zod';
import {EndpointRole, KeyedWriteResult, type Row} from './endpoint.js';

/** Schemas of a database server's answers; unknown fields are dropped. */

const term = z.int().min(0);

const rows = z.custom<readonly Row[]>(value => Array.isArray(value) && value.every(row => isRow(row)), 'rows are a list of objects');

/** Schema of an EndpointStatus. */
export const endpointStatusSchema = z.object({
	term,
	log: z.object({term, position: z.int().min(0)}),
	role: z.enum(EndpointRole),
	leaving: z.boolean(),
});

/** Schema of a TermAnswer. */
export const termAnswerSchema = z.object({
	granted: z.boolean(),
	status: endpointStatusSchema,
});

/** Schema of a KeyedWriteAnswer. */
export const keyedWriteAnswerSchema = z.object({
	result: z.enum(KeyedWriteResult),
	rows: rows.optional(),
	message: z.string().optional(),
	status: endpointStatusSchema,
});

/** Schema of a FloorReadAnswer. */
export const floorReadAnswerSchema = z.object({
	held: z.boolean(),
	lost: z.boolean().optional(),
	rows,
	status: endpointStatusSchema,
	message: z.string().optional(),
});

/** Schema of the rows of a statement within a transaction. */
export const rowsSchema = rows;

function isRow(value: unknown): value is Row {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
