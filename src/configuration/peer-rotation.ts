import type {Random} from '../random/random.js';

/** Chooses whom to ask again and again. */
export type PeerRotation = {
	/** The next address among those usable now; undefined where there is none. */
	next(usable: readonly string[]): string | undefined;
	/** Notes that an address did not answer: another takes its place. */
	drop(address: string): void;
};

/** Addresses in turn, so that their links stay open instead of one being opened for each question. */
const MEMBERS = 4;
/** Questions after which one member gives way to another, so that no few hosts ask only each other for long. */
const QUESTIONS_PER_MEMBER = 16;

/** Creates a rotation without members. */
export function createPeerRotation(random: Random): PeerRotation {
	let members: string[] = [];
	let questions = 0;

	const fill = (usable: readonly string[]) => {
		const others = usable.filter(address => !members.includes(address));
		while (members.length < MEMBERS && others.length > 0) {
			members.push(...others.splice(Math.floor(random.fraction() * others.length), 1));
		}
	};

	return {
		next(usable) {
			questions++;
			members = members.filter(address => usable.includes(address));
			const leaving = questions % QUESTIONS_PER_MEMBER === 0 && usable.length > MEMBERS ? members.shift() : undefined;
			fill(usable.filter(address => address !== leaving));
			const [first, ...others] = members;
			members = first === undefined ? [] : [...others, first];
			return first;
		},
		drop(address) {
			members = members.filter(member => member !== address);
		},
	};
}
