import type {RefusalRecord} from './refusal-record.js';

/**
 * Gathers records for one batch in bounded memory.
 *
 * Over its capacity it keeps a sample that is fair between kinds of refusal (group and code), so that a storm of one
 * kind does not hide the one refusal of another; within a kind each record has the same chance.
 */
export type RecordSampler = {
	/** @param fraction Chance, from 0 up to 1. */
	add(record: RefusalRecord, fraction: number): void;
	/** Takes out what was gathered. */
	take(): RecordSample;
	readonly size: number;
};

/** What was gathered, with the count of what was not kept. */
export type RecordSample = {
	readonly records: readonly RefusalRecord[];
	readonly counts: readonly RefusalCount[];
};

/** How many refusals of one kind there were, and of how many the record was kept. */
export type RefusalCount = {
	readonly group: string;
	readonly code: string;
	readonly seen: number;
	readonly kept: number;
};

/** Options of {@link createRecordSampler}. */
export type RecordSamplerOptions = {
	/** Most records kept. */
	readonly capacity: number;
	/** Most kinds told apart; further groups are counted together as {@link OTHER_GROUPS}. */
	readonly maxKinds: number;
};

/** Stands for the groups beyond the kinds told apart. */
export const OTHER_GROUPS = '*';

type Stratum = {
	readonly group: string;
	readonly code: string;
	seen: number;
	readonly kept: RefusalRecord[];
};

/** Creates an empty sampler. */
export function createRecordSampler({capacity, maxKinds}: RecordSamplerOptions): RecordSampler {
	let strata = new Map<string, Stratum>();
	let size = 0;

	const getStratum = ({group, code}: RefusalRecord) => {
		const known = strata.get(`${group} ${code}`);
		if (known) {
			return known;
		}

		const name = strata.size < maxKinds ? group : OTHER_GROUPS;
		const key = `${name} ${code}`;
		const stratum = strata.get(key) ?? {
			group: name, code, seen: 0, kept: [],
		};
		strata.set(key, stratum);
		return stratum;
	};

	const makeRoom = (fraction: number) => {
		let largest: Stratum | undefined;
		for (const stratum of strata.values()) {
			if (!largest || stratum.kept.length > largest.kept.length) {
				largest = stratum;
			}
		}

		dropOne(largest!.kept, fraction);
		size--;
	};

	return {
		add(record, fraction) {
			const stratum = getStratum(record);
			stratum.seen++;
			if (size < capacity) {
				stratum.kept.push(record);
				size++;
				return;
			}

			if (stratum.kept.length < Math.floor(capacity / strata.size)) {
				makeRoom(fraction);
				stratum.kept.push(record);
				size++;
				return;
			}

			const place = Math.floor(fraction * stratum.seen);
			if (place < stratum.kept.length) {
				stratum.kept[place] = record;
			}
		},
		take() {
			const taken = [...strata.values()];
			strata = new Map();
			size = 0;
			return {
				records: taken.flatMap(stratum => stratum.kept),
				counts: taken.map(({group, code, seen, kept}) => ({
					group, code, seen, kept: kept.length,
				})),
			};
		},
		get size() {
			return size;
		},
	};
}

/** Drops one item by chance. */
function dropOne(items: RefusalRecord[], fraction: number): void {
	const last = items.pop()!;
	const place = Math.floor(fraction * (items.length + 1));
	if (place < items.length) {
		items[place] = last;
	}
}
