/** Splits a stream of text into lines that end with CR LF; returns the function that takes the next chunk. */
export function createLineSplitter() {
	let rest = '';
	return chunk => {
		const lines = (rest + chunk).split('\r\n');
		rest = lines.pop();
		return lines;
	};
}

/** Splits a text at its first blank. */
export function splitFirstWord(text) {
	const at = text.indexOf(' ');
	return at === -1 ? [text, ''] : [text.slice(0, at), text.slice(at + 1)];
}

/** Resolves after some milliseconds. */
export async function sleep(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Returns the Unix time in whole milliseconds. */
export function getUnixMs() {
	return Math.trunc(performance.timeOrigin + performance.now());
}
