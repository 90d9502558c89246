/** How deep, how wide and how long an entry is described. */
const MAX_DEPTH = 4;
const MAX_MEMBERS = 12;
const MAX_TEXT_LENGTH = 60;
const MAX_LENGTH = 200;

/**
 * Describes an entry of any form in a few words for a log line. `JSON.stringify` recurses, so that an entry nested some thousand levels deep, which `JSON.parse` reads, would throw
 * an error here, and with it the whole list would fail to be read.
 */
export function describeEntry(entry: unknown): string {
	return describe(entry, MAX_DEPTH).slice(0, MAX_LENGTH);
}

function describe(value: unknown, depth: number): string {
	if (typeof value === 'string') {
		return JSON.stringify(value.slice(0, MAX_TEXT_LENGTH));
	}

	if (typeof value !== 'object' || value === null) {
		return String(value);
	}

	if (depth === 0) {
		return '...';
	}

	const members = Object.entries(value).slice(0, MAX_MEMBERS);
	return Array.isArray(value)
		? `[${members.map(([, member]) => describe(member, depth - 1)).join(',')}]`
		: `{${members.map(([name, member]) => `${JSON.stringify(name.slice(0, MAX_TEXT_LENGTH))}:${describe(member, depth - 1)}`).join(',')}}`;
}
