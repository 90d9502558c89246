/** Tells the demo's story on the screen, one short line at a time. */
export type Story = {
	/** Begins a chapter: what it shows, and why that matters to whom. */
	beginChapter(title: string, why: string): void;
	/** Tells what happens. */
	tell(line: string): void;
	/** Shows a command of an operator and what it answered, at most `mostLines` lines of it. */
	showCommand(command: string, answer: string, mostLines?: number): void;
	/** Tells how a promise was judged. */
	showVerdict(kept: boolean, line: string): void;
};

/** What the story is told with. */
export type StoryOptions = {
	/** Takes one line without its end. */
	readonly print: (line: string) => void;
};

const INDENT = '   ';
const MOST_LINE_LENGTH = 160;
const MOST_COMMAND_LINES = 8;

/** Creates a story that is printed line by line. */
export function createStory({print}: StoryOptions): Story {
	let chapters = 0;

	return {
		beginChapter(title, why) {
			chapters++;
			print('');
			print(`${chapters}. ${title}`);
			print(`${INDENT}${why}`);
		},
		tell(line) {
			print(`${INDENT}- ${line}`);
		},
		showCommand(command, answer, mostLines = MOST_COMMAND_LINES) {
			print(`${INDENT}$ aldercroft ${shorten(command)}`);
			const lines = answer.trimEnd().split('\n');
			for (const line of lines.slice(0, mostLines)) {
				print(`${INDENT}  | ${shorten(line)}`);
			}

			if (lines.length > mostLines) {
				print(`${INDENT}  | … ${lines.length - mostLines} more lines`);
			}
		},
		showVerdict(kept, line) {
			print(`${INDENT}${kept ? 'kept  ' : 'BROKEN'} ${line}`);
		},
	};
}

function shorten(line: string): string {
	return line.length <= MOST_LINE_LENGTH ? line : `${line.slice(0, MOST_LINE_LENGTH - 1)}…`;
}
