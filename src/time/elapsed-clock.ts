import koffi from 'koffi';

/**
 * Time that also passes while the host is suspended.
 *
 * The steady clock stands still in a suspension, so a bound measured with it outlives its time on a host that was
 * frozen and woke again; the calendar may jump. Whatever must have ended before another host acts is measured with this.
 */
export type ElapsedClock = {
	/** Milliseconds since the host was started, with fractions. */
	elapsed(): number;
};

/** Number of the kernel's clock that counts suspensions, as in Linux's `time.h`. */
const CLOCK_BOOTTIME = 7;

/**
 * Creates the elapsed clock of the host.
 *
 * Node offers no such clock: `os.uptime()` reads a file of the kernel in steps of 10 ms, which in a container may tell
 * another machine's time.
 */
export function createElapsedClock(): ElapsedClock {
	const library = koffi.load(null);
	// The C library fills in seconds and nanoseconds, 64 bits each; a buffer that is kept costs less than a struct that is decoded anew.
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
