import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Folders of the source that hold files of their own, as in `src/stand-ins/time`. */
function getSourceFolders(): string[] {
	const files = readdirSync(path.join(ROOT, 'src'), {recursive: true, withFileTypes: true}).filter(entry => entry.isFile());
	return [...new Set(files.map(file => path.relative(ROOT, file.parentPath)))].sort();
}

describe('docs/SOURCE-MAP.md', () => {
	it('has one line for each folder of the source, and none for another', () => {
		const page = readFileSync(path.join(ROOT, 'docs/SOURCE-MAP.md'), 'utf8');
		const named = [...page.matchAll(/^\| `(src\/[^`]+)` \|/gmv)].map(match => match[1]!);
		expect(named.sort()).to.deep.equal(getSourceFolders());
	});
});
