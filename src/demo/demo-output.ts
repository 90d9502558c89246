/** Prints the progress of the demo in short lines. */
export type DemoOutput = {
	/** Prints the heading of a scenario: what it shows, and why that matters. */
	beginScenario(title: string, why: string): void;
	/** Prints one line. */
	printLine(line: string): void;
	/** Prints an operator's command and its output, at most `maxLines` lines of it; 8 by default. */
	showCommand(command: string, answer: string, maxLines?: number): void;
	/** Prints whether a guarantee was kept. */
	showVerdict(kept: boolean, line: string): void;
};

/** Options of the output. */
export type DemoOutputOptions = {
	/** Prints one line, which is passed without a line break. */
	readonly print: (line: string) => void;
};

const INDENT = '   ';
const MAX_LINE_LENGTH = 160;
const DEFAULT_MAX_COMMAND_LINES = 8;

/** Creates an output that is printed line by line. */
export function createDemoOutput({print}: DemoOutputOptions): DemoOutput {
	let scenarios = 0;

	return {
		beginScenario(title, why) {
			scenarios++;
			print('');
			print(`${scenarios}. ${title}`);
			print(`${INDENT}${why}`);
		},
		printLine(line) {
			print(`${INDENT}- ${line}`);
		},
		showCommand(command, answer, maxLines = DEFAULT_MAX_COMMAND_LINES) {
			print(`${INDENT}$ aldercroft ${shorten(command)}`);
			const lines = answer.trimEnd().split('\n');
			for (const line of lines.slice(0, maxLines)) {
				print(`${INDENT}  | ${shorten(line)}`);
			}

			if (lines.length > maxLines) {
				print(`${INDENT}  | … ${lines.length - maxLines} more lines`);
			}
		},
		showVerdict(kept, line) {
			print(`${INDENT}${kept ? 'kept  ' : 'BROKEN'} ${line}`);
		},
	};
}

function shorten(line: string): string {
	return line.length <= MAX_LINE_LENGTH ? line : `${line.slice(0, MAX_LINE_LENGTH - 1)}…`;
}
