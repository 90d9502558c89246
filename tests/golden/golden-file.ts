import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';

/** Whether to rewrite the golden files with the new transcripts. The difference must then be reviewed like code. */
const UPDATE = process.env.UPDATE_GOLDEN === '1';

/** Compares a session's transcript with the golden file of the given name. */
export function expectGolden(name: string, transcript: string): void {
	const file = fileURLToPath(new URL(`${name}.txt`, import.meta.url));
	if (UPDATE) {
		writeFileSync(file, transcript);
	}

	expect(existsSync(file), `no golden file ${name}.txt`).to.equal(true);
	expect(transcript).to.equal(readFileSync(file, 'utf8'));
}
