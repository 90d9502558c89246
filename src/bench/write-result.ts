import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import type {ExperimentResult} from './experiment.js';
import {drawPlots} from './svg-plot.js';

/** Writes a result as JSON to `file`, and its plots, if any, to an `.svg` file of the same name; resolves with the files written. */
export async function writeResult(result: ExperimentResult, file: string): Promise<readonly string[]> {
	await mkdir(path.dirname(file), {recursive: true});
	// One figure a line, so that two results can be compared line by line.
	const text = JSON.stringify(result).replaceAll('{"name"', '\n{"name"');
	await writeFile(file, `${text}\n`);
	if (result.plots.length === 0) {
		return [file];
	}

	const plotFile = file.replace(/\.json$/v, '') + '.svg';
	await writeFile(plotFile, drawPlots(result.plots));
	return [file, plotFile];
}
