import type {IToken} from 'chevrotain';
import * as z from 'zod';
import {groupConfigSchema} from '../groups/group-config.js';
import {throwNotExpected} from './language-errors.js';

const MS_OF_UNIT: Readonly<Record<string, number>> = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

/** Reads a name, which the platform's objects hold in one form only. */
export function getName(token: IToken): string {
	return check(token, groupConfigSchema.shape.name, token.image, '1 to 63 of a-z, 0-9 and "-", beginning with a letter');
}

/** Reads a duration in milliseconds, within the bounds of the field it is for. */
export function getDuration(token: IToken, schema: z.ZodType, expected: string): number {
	const [, digits, unit] = /^(\d+)(\D+)$/v.exec(token.image)!;
	return check(token, schema, Number(digits) * MS_OF_UNIT[unit!]!, expected);
}

/** Reads a whole number within the bounds of the field it is for. */
export function getCount(token: IToken, schema: z.ZodType, expected: string): number {
	return check(token, schema, Number(token.image), expected);
}

/** Reads how many changes to show. */
export function getLast(token: IToken): number {
	return check(token, z.int().min(1).max(1000), Number(token.image), 'a number from 1 to 1000');
}

/** Reads a share, from 0 to 1. */
export function getShare(token: IToken): number {
	const schema = groupConfigSchema.shape.classShares.unwrap().shape.deadline;
	return check(token, schema, Number(token.image.slice(0, -1)) / 100, 'a share from 0% to 100%');
}

function check<T>(token: IToken, schema: z.ZodType, value: T, expected: string): T {
	if (!schema.safeParse(value).success) {
		throwNotExpected({column: token.startColumn!, expected, found: token.image});
	}

	return value;
}
