import {createHash} from 'node:crypto';
import {Access, type PreparedShape} from './statement.js';

/** Shapes up to this many bytes are their own key. */
const MAX_LITERAL_LENGTH = 64;

/**
 * Returns a key that stands for a prepared shape in maps and statistics, the same on every host and of bounded length. It must not be sent as a name: it may hold any
 * byte of the shape.
 */
export function getShapeKey({access, shape}: PreparedShape): string {
	const prefix = access === Access.Read ? 'r' : 'w';
	return shape.length <= MAX_LITERAL_LENGTH
		? `${prefix}_${shape}`
		: `${prefix}#${createHash('sha256').update(shape, 'latin1').digest('base64url')}`;
}
