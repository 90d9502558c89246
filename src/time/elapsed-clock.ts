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
	const timespec = koffi.struct({tv_sec: 'long', tv_nsec: 'long'});
	const library = koffi.load(null);
	const getTime = library.func('clock_gettime', 'int', ['int', koffi.out(koffi.pointer(timespec))]) as (clock: number, time: Record<string, unknown>) => number;
	return {
		elapsed() {
			const time: {tv_sec?: number; tv_nsec?: number} = {};
			if (getTime(CLOCK_BOOTTIME, time) !== 0) {
				throw new Error('the host has no clock that counts suspensions');
			}

			return (time.tv_sec! * 1000) + (time.tv_nsec! / 1e6);
		},
	};
}
