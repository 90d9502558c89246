import koffi from 'koffi';

/**
 * Clock that also advances while the host is suspended.
 *
 * The steady clock stops during a suspension, so a time limit measured with it is exceeded on a host that was suspended and
 * resumed; the wall clock may jump. Whatever must have ended before another host acts is measured with this clock.
 */
export type ElapsedClock = {
	/** Returns the milliseconds since the host was started, with fractions. Throws where the kernel has no such clock. */
	elapsed(): number;
};

/** Number of the kernel's clock that includes suspensions, as in Linux's `time.h`. */
const CLOCK_BOOTTIME = 7;

/**
 * Creates the elapsed clock of the host.
 *
 * Node offers no such clock: `os.uptime()` reads a kernel file with a resolution of 10 ms, which in a container may show
 * the time of another machine.
 */
export function createElapsedClock(): ElapsedClock {
	const library = koffi.load(null);
	// The C library writes seconds and nanoseconds, 64 bits each; reusing a buffer costs less than decoding a struct each time.
	const getTime = library.func('int clock_gettime(int clock, void *time)') as (clock: number, time: BigInt64Array) => number;
	const time = new BigInt64Array(2);
	return {
		elapsed() {
			if (getTime(CLOCK_BOOTTIME, time) !== 0) {
				throw new Error('the host has no clock that counts suspensions');
			}

			return (Number(time[0]) * 1000) + (Number(time[1]) / 1e6);
		},
	};
}
