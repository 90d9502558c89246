/** What is due at a time; among equal times the lower order goes first. */
export type Timed = {
	readonly at: number;
	readonly order: number;
};

/** Things in the order in which they are due, as a binary heap. */
export type TimedHeap<T extends Timed> = {
	/** The one that is due first. */
	readonly first: T | undefined;
	add(item: T): void;
	/** Takes out the one that is due first. */
	takeFirst(): T | undefined;
};

function isEarlier(left: Timed, right: Timed): boolean {
	return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** Creates an empty heap. */
export function createTimedHeap<T extends Timed>(): TimedHeap<T> {
	const heap: T[] = [];

	return {
		get first() {
			return heap[0];
		},
		add(item) {
			let place = heap.length;
			while (place > 0) {
				const parent = (place - 1) >>> 1;
				if (!isEarlier(item, heap[parent]!)) {
					break;
				}

				heap[place] = heap[parent]!;
				place = parent;
			}

			heap[place] = item;
		},
		takeFirst() {
			const first = heap[0];
			const last = heap.pop();
			if (!last || heap.length === 0) {
				return first;
			}

			let place = 0;
			for (let child = 1; child < heap.length; child = (2 * place) + 1) {
				if (child + 1 < heap.length && isEarlier(heap[child + 1]!, heap[child]!)) {
					child++;
				}

				if (!isEarlier(heap[child]!, last)) {
					break;
				}

				heap[place] = heap[child]!;
				place = child;
			}

			heap[place] = last;
			return first;
		},
	};
}
