import * as z from 'zod';
import type {GroupConfig} from '../groups/group-config.js';
import {storedGroupSchema} from '../groups/stored-group.js';
import {OperatorRole} from '../operators/operator-access.js';
import {ObjectKind} from '../object-store/platform.js';
import {throwUnreadableObject} from './audit-errors.js';
import {auditEntrySchema} from './audit-entry.js';
import type {AuditedKind} from './change.js';

/** The state of a group's object. */
export type GroupState = {
	readonly cfg: GroupConfig;
	readonly deleted: boolean;
};

/** Objects of kind `group`. */
export const groupKind: AuditedKind<GroupState> = {
	kind: ObjectKind.Group,
	parse(value) {
		const parsed = storedGroupSchema.safeParse(value);
		if (!parsed.success) {
			throwUnreadableObject('group', parsed.error);
		}

		const {cfg, deleted, audit, nextArchive} = parsed.data;
		return {state: {cfg, deleted}, audit, nextArchive};
	},
	format: ({state, audit, nextArchive}) => ({...state, audit, nextArchive}),
};

const operatorRecordSchema = z.strictObject({
	name: z.string(),
	role: z.enum(OperatorRole),
	/** SHA-256 of the bearer token, in lower-case hex. */
	tokenHash: z.string().regex(/^[\da-f]{64}$/v),
});

const storedOperatorsSchema = z.strictObject({
	operators: z.array(operatorRecordSchema),
	audit: z.array(auditEntrySchema),
	nextArchive: z.int().min(0).default(0),
});

/** An operator as stored in the platform: with the token's hash, never the token itself. */
export type OperatorRecord = z.infer<typeof operatorRecordSchema>;

/** Name of the one object of kind `system` that holds the operators. */
export const OPERATORS_OBJECT = 'operators';

/** The object of kind `system` that holds the operators. */
export const operatorsKind: AuditedKind<readonly OperatorRecord[]> = {
	kind: ObjectKind.System,
	parse(value) {
		const parsed = storedOperatorsSchema.safeParse(value);
		if (!parsed.success) {
			throwUnreadableObject('list of operators', parsed.error);
		}

		const {operators, audit, nextArchive} = parsed.data;
		return {state: operators, audit, nextArchive};
	},
	format: ({state, audit, nextArchive}) => ({operators: state, audit, nextArchive}),
};
