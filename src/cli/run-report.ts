import {open} from 'node:fs/promises';
import {createInterface} from 'node:readline';
import {createFleetReporter, type FleetReporter} from '../reports/fleet-report.js';
import {formatReport} from '../reports/format-report.js';
import {throwUsage} from './cli-errors.js';
import {ExitCode} from './exit-code.js';

/** Options of {@link runReport}: the parts of its process that a report uses. */
export type ReportOptions = {
	readonly args: readonly string[];
	readonly input: NodeJS.ReadableStream;
	readonly output: NodeJS.WritableStream;
};

const JSON_FLAG = '--json';
const STANDARD_INPUT = '-';

/** Runs `aldercroft report LOG…`: reads logs line by line, `-` for standard input, and prints a report of them. Rejects with UsageError for invalid arguments and for files that cannot be read. */
export async function runReport({args, input, output}: ReportOptions): Promise<ExitCode> {
	const unknown = args.find(argument => argument.startsWith('--') && argument !== JSON_FLAG);
	const files = args.filter(argument => argument !== JSON_FLAG);
	if (unknown !== undefined) {
		throwUsage(`unknown option ${unknown}`);
	}

	if (files.length === 0) {
		throwUsage('report needs the names of logs, or - for standard input');
	}

	const reporter = createFleetReporter();
	for (const file of files) {
		await readLog(file, input, reporter);
	}

	const report = reporter.getReport();
	output.write(args.includes(JSON_FLAG) ? `${JSON.stringify(report)}\n` : `${formatReport(report)}\n`);
	return ExitCode.Ok;
}

async function readLog(file: string, input: NodeJS.ReadableStream, reporter: FleetReporter) {
	if (file === STANDARD_INPUT) {
		await addLines(createInterface({input}), reporter);
		return;
	}

	try {
		const handle = await open(file);
		await addLines(handle.readLines(), reporter);
	} catch (err) {
		throwUsage(`${file} cannot be read: ${(err as Error).message}`);
	}
}

async function addLines(lines: AsyncIterable<string>, reporter: FleetReporter) {
	for await (const line of lines) {
		reporter.addLine(line);
	}
}
