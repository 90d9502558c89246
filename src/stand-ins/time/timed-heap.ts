/** An item that is due at a time; of items due at the same time, the one of the lower order comes first. */
export type Timed = {
	readonly at: number;
	readonly order: number;
};

/** A binary heap of items in the order in which they are due. */
export type TimedHeap<T extends Timed> = {
	/** The item that is due first; undefined where the heap is empty. */
	readonly first: T | undefined;
	add(item: T): void;
	/** Removes and returns the item that is due first; undefined where the heap is empty. */
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
			let index = heap.length;
			while (index > 0) {
				const parent = (index - 1) >>> 1;
				if (!isEarlier(item, heap[parent]!)) {
					break;
				}

				heap[index] = heap[parent]!;
				index = parent;
			}

			heap[index] = item;
		},
		takeFirst() {
			const first = heap[0];
			const last = heap.pop();
			if (!last || heap.length === 0) {
				return first;
			}

			let index = 0;
			for (let child = 1; child < heap.length; child = (2 * index) + 1) {
				if (child + 1 < heap.length && isEarlier(heap[child + 1]!, heap[child]!)) {
					child++;
				}

				if (!isEarlier(heap[child]!, last)) {
					break;
				}

				heap[index] = heap[child]!;
				index = child;
			}

			heap[index] = last;
			return first;
		},
	};
}
