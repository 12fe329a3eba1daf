type Timer = Readonly<{at: number; order: number; run: () => void}>;

/** Virtual clock that runs scheduled callbacks in order, without waiting. */
export type Clock = Readonly<{
	now: () => number;
	schedule: (delayMs: number, run: () => void) => void;
	/** Runs callbacks until none is left or the next one is after `endMs`. */
	runUntil: (endMs: number) => void;
}>;

function isBefore(left: Timer, right: Timer): boolean {
	return left.at === right.at ? left.order < right.order : left.at < right.at;
}

/** Creates a clock at 0 ms. */
export function createClock(): Clock {
	const heap: Timer[] = [];
	let currentTime = 0;
	let order = 0;

	const swap = (i: number, j: number) => {
		const moved = heap[i]!;
		heap[i] = heap[j]!;
		heap[j] = moved;
	};

	const pushTimer = (timer: Timer) => {
		let index = heap.push(timer) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(heap[index]!, heap[parent]!)) {
				return;
			}

			swap(index, parent);
			index = parent;
		}
	};

	const siftDown = () => {
		let index = 0;
		for (;;) {
			const left = 2 * index + 1;
			const right = left + 1;
			let first = index;
			first =
				left < heap.length && isBefore(heap[left]!, heap[first]!)
					? left
					: first;
			first =
				right < heap.length && isBefore(heap[right]!, heap[first]!)
					? right
					: first;
			if (first === index) {
				return;
			}

			swap(index, first);
			index = first;
		}
	};

	const popTimer = (): Timer => {
		const top = heap[0]!;
		const last = heap.pop()!;
		if (heap.length > 0) {
			heap[0] = last;
			siftDown();
		}

		return top;
	};

	return {
		now: () => currentTime,
		schedule(delayMs, run) {
			order++;
			pushTimer({at: currentTime + delayMs, order, run});
		},
		runUntil(endMs) {
			while (heap.length > 0 && heap[0]!.at <= endMs) {
				const timer = popTimer();
				currentTime = timer.at;
				timer.run();
			}
		},
	};
}
