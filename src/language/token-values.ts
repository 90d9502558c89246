import type {IToken} from 'chevrotain';
import * as z from 'zod';
import {groupConfigSchema} from '../groups/group-config.js';
import {throwUnexpectedToken} from './language-errors.js';

const MS_OF_UNIT: Readonly<Record<string, number>> = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

/** Returns a name; throws a LanguageError where it does not have the form of names in the platform's objects. */
export function getName(token: IToken): string {
	return check(token, groupConfigSchema.shape.name, token.image, '1 to 63 of a-z, 0-9 and "-", beginning with a letter');
}

/** Returns a duration in milliseconds; throws a LanguageError where it is outside the bounds of its field. */
export function getDuration(token: IToken, schema: z.ZodType, expected: string): number {
	const [, digits, unit] = /^(\d+)(\D+)$/v.exec(token.image)!;
	return check(token, schema, Number(digits) * MS_OF_UNIT[unit!]!, expected);
}

/** Returns a whole number; throws a LanguageError where it is outside the bounds of its field. */
export function getCount(token: IToken, schema: z.ZodType, expected: string): number {
	return check(token, schema, Number(token.image), expected);
}

/** Returns the number of changes to show; throws a LanguageError where it is out of range. */
export function getLast(token: IToken): number {
	return check(token, z.int().min(1).max(1000), Number(token.image), 'a number from 1 to 1000');
}

/** Returns a share from 0 to 1; throws a LanguageError where it is out of range. */
export function getShare(token: IToken): number {
	const schema = groupConfigSchema.shape.classShares.unwrap().shape.deadline;
	return check(token, schema, Number(token.image.slice(0, -1)) / 100, 'a share from 0% to 100%');
}

function check<T>(token: IToken, schema: z.ZodType, value: T, expected: string): T {
	if (!schema.safeParse(value).success) {
		throwUnexpectedToken({column: token.startColumn!, expected, found: token.image});
	}

	return value;
}
