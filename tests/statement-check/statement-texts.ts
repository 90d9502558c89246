import {Buffer} from 'node:buffer';
import type {Random} from '../../src/random/random.js';
import {MAX_LINE_BYTES} from '../../src/platform/line-reader.js';

/** Random texts of statements, as callers may send them by the protocol. */
export type StatementTexts = {
	/** Name of a prepared statement: callers' names collide with each other and with those that proxies give. */
	name(): string;
	/** A shape: several hundred differ, so that no connection can keep them all. */
	shape(): string;
	/** Arguments of a read or write, without the blank before them. */
	args(): string;
	/** Fills a text up to the size limit of a line, or to a few bytes below it. */
	fill(id: string, text: string): string;
	/** Name and value of a session value. */
	value(): string;
};

const NAMES = ['s1', 's2', 's3', 's4', 'a', 'b', 'c', '0', 'w_qf', 'r_qf', 'w_', 's\u00E9', 's\t'];

/** Shapes that look like other shapes, like names that proxies give, or like statements. */
const ODD_SHAPES = [
	'qf WRITE ve', 'qf READ ve', 'WRITE qf', 'READ qf', ' qf', 'qf ', ' ', '  ', 'xc  due', 'q1d READ wh', 'a WRITE qf', 'EXECUTE a 1', 'CLOSE a', 'RESET -', 'q f', '1.1 READ i1', 'q\u00A0f WRITE ve',
];

const ONE_WORD_SHAPES = ['qf', 've', 'a', 'b', '0', 'w_qf', 'r_qf', 'w_', 'READ', 'WRITE', 'RESET', 'AFTER', '-', 'q\tf', 'q\nf', 'q\rf', 'q\0f', '\n', 'qf\r', '\u00A0', '\u00E9\u00FF'];

const WORDS = ['q1d', 'wh', 'READ', 'WRITE', 'qf', 've', 'sfctr', 'w_qf', 'COMMIT', 'AFTER'];

/** Words that are each a shape with one more number, so that many shapes differ in a byte. */
const NUMBERED_SHAPES = 150;

const ITEMS = ['i1', 'i2', 'i3', 'i4', '1a4', '#e', '7', 'READ', 'i\u00E9', 'i\0'];

const VALUES = ['zone', 'lang', 'app', 'a'];

/** Characters by which a filled line may be below the size limit. */
const MAX_BELOW_LIMIT = 4;

/** Creates the texts. Without `isOdd` shapes are one word and arguments never empty, which versions before 8b91160 handle as well. */
export function createStatementTexts(random: Random, isOdd: boolean): StatementTexts {
	const below = (bound: number) => Math.floor(random.fraction() * bound);
	const pick = (texts: readonly string[]) => texts[below(texts.length)]!;

	/** Returns 1 to 6 bytes of any value; a line end would end the message. */
	const bytes = () => Buffer.from(random.bytes(1 + below(6))).toString('latin1').replaceAll('\r\n', '\r');

	const oddShape = () => {
		if (random.fraction() < 0.5) {
			return pick(ODD_SHAPES);
		}

		return [pick(WORDS), random.fraction() < 0.3 ? bytes() : pick(WORDS), pick(WORDS)].slice(0, 2 + below(2)).join(random.fraction() < 0.2 ? '  ' : ' ');
	};

	const data = () => {
		const kind = random.fraction();
		if (kind < 0.15) {
			return isOdd ? '' : '0';
		}

		return kind < 0.5 ? bytes() : `d${below(1000)}`;
	};

	return {
		name: () => pick(NAMES),
		shape() {
			const kind = random.fraction();
			if (isOdd && kind < 0.5) {
				return oddShape();
			}

			if (kind < 0.65) {
				return pick(ONE_WORD_SHAPES);
			}

			return kind < 0.75 ? bytes().replaceAll(' ', '_') : `q${below(NUMBERED_SHAPES)}`;
		},
		args() {
			const kind = random.fraction();
			if (isOdd && kind < 0.1) {
				return '';
			}

			return kind < 0.5 ? pick(ITEMS) : `${pick(ITEMS)} ${data()}`;
		},
		fill(id, text) {
			const line = `QUERY ${id} ${text}`;
			return text + 'x'.repeat(MAX_LINE_BYTES - line.length - below(MAX_BELOW_LIMIT + 1));
		},
		value: () => `${pick(VALUES)} ${random.fraction() < 0.2 ? `${bytes()} SET` : `v${below(5)}`}`,
	};
}
