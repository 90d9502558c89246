import type {RefusalRecord} from './refusal-record.js';

/**
 * Collects records for one batch in bounded memory.
 *
 * Beyond its capacity it keeps a sample stratified by the kind of refusal (group and code), so that many refusals of one
 * kind do not displace a single refusal of another. Within a kind, each record has the same chance to be kept.
 */
export type RecordSampler = {
	/** @param fraction Random number from 0 (inclusive) to 1 (exclusive). */
	add(record: RefusalRecord, fraction: number): void;
	/** Returns the collected sample and empties the sampler. */
	take(): RecordSample;
	readonly size: number;
};

/** The kept records, with the counts of all refusals by kind. */
export type RecordSample = {
	readonly records: readonly RefusalRecord[];
	readonly counts: readonly RefusalCount[];
};

/** Number of refusals of one kind, and of those whose records were kept. */
export type RefusalCount = {
	readonly group: string;
	readonly code: string;
	readonly seen: number;
	readonly kept: number;
};

/** Options of {@link createRecordSampler}. */
export type RecordSamplerOptions = {
	/** Maximum number of kept records. */
	readonly capacity: number;
	/** Maximum number of kinds that are counted separately. Further groups are counted together as {@link OTHER_GROUPS}. */
	readonly maxKinds: number;
};

/** Name under which the groups beyond the maximum number of kinds are counted. */
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

	const evictFromLargestStratum = (fraction: number) => {
		let largest: Stratum | undefined;
		for (const stratum of strata.values()) {
			if (!largest || stratum.kept.length > largest.kept.length) {
				largest = stratum;
			}
		}

		dropRandomItem(largest!.kept, fraction);
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
				evictFromLargestStratum(fraction);
				stratum.kept.push(record);
				size++;
				return;
			}

			const index = Math.floor(fraction * stratum.seen);
			if (index < stratum.kept.length) {
				stratum.kept[index] = record;
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

/** Removes a random item. The last item takes its place. */
function dropRandomItem(items: RefusalRecord[], fraction: number): void {
	const last = items.pop()!;
	const index = Math.floor(fraction * (items.length + 1));
	if (index < items.length) {
		items[index] = last;
	}
}
