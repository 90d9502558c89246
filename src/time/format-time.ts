const SECOND_MS = 1000;
const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const DAY_MS = 86_400_000;

/** Formats a duration in milliseconds: `850 ms`, `1.5 s`, `2 min 5 s`, `3 h 20 min`, `2 d 4 h`. */
export function formatDuration(ms: number): string {
	const rounded = Math.round(ms);
	if (!Number.isFinite(rounded)) {
		return 'an unknown time';
	}

	if (Math.abs(rounded) < SECOND_MS) {
		return `${rounded} ms`;
	}

	if (rounded < MINUTE_MS) {
		return `${Math.round(rounded / 100) / 10} s`;
	}

	if (rounded < HOUR_MS) {
		return join(rounded, MINUTE_MS, 'min', SECOND_MS, 's');
	}

	return rounded < DAY_MS ? join(rounded, HOUR_MS, 'h', MINUTE_MS, 'min') : join(rounded, DAY_MS, 'd', HOUR_MS, 'h');
}

/** Formats a time in milliseconds since the epoch: `2026-01-05 06:12:03.250 UTC`. */
export function formatInstant(ms: number): string {
	return new Date(ms).toISOString().replace('T', ' ').replace('Z', ' UTC');
}

function join(ms: number, large: number, largeName: string, small: number, smallName: string): string {
	const rest = Math.floor((ms % large) / small);
	const whole = `${Math.floor(ms / large)} ${largeName}`;
	return rest === 0 ? whole : `${whole} ${rest} ${smallName}`;
}
