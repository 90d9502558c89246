import type {Plot, PlotSeries} from './experiment.js';

const WIDTH = 640;
const HEIGHT = 320;
const LEFT = 60;
const RIGHT = 190;
const TOP = 34;
const BOTTOM = 46;
const GRID_LINES = 5;
const COLOURS = ['#1b6ca8', '#c0392b', '#2e8b57', '#b8860b', '#6a4c93', '#555555', '#d2691e'];

/** Returns an SVG document with the plots, one below the other. */
export function drawPlots(plots: readonly Plot[]): string {
	const drawn = plots.map((plot, i) => `<g transform="translate(0 ${i * HEIGHT})">${drawPlot(plot)}</g>`);
	const size = `width="${WIDTH}" height="${HEIGHT * plots.length}"`;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" ${size} font-family="sans-serif" font-size="11">`,
		'<rect width="100%" height="100%" fill="white"/>',
		...drawn,
		'</svg>',
		'',
	].join('\n');
}

function drawPlot(plot: Plot): string {
	const points = plot.series.flatMap(series => series.points).filter(point => Number.isFinite(point.y));
	const xs = points.map(point => point.x);
	const minX = Math.min(...xs);
	const xSpan = (Math.max(...xs) - minX) || 1;
	const maxY = roundUpAxisMax(Math.max(...points.map(point => point.y)));
	const toX = (x: number) => LEFT + ((x - minX) / xSpan * (WIDTH - LEFT - RIGHT));
	const toY = (y: number) => HEIGHT - BOTTOM - (y / maxY * (HEIGHT - TOP - BOTTOM));

	const grid = Array.from({length: GRID_LINES + 1}, (_, i) => {
		const y = maxY * i / GRID_LINES;
		const x = minX + (xSpan * i / GRID_LINES);
		return `<line x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${toY(y)}" y2="${toY(y)}" stroke="#ddd"/>`
			+ `<text x="${LEFT - 6}" y="${toY(y) + 4}" text-anchor="end">${formatTick(y)}</text>`
			+ `<text x="${toX(x)}" y="${HEIGHT - BOTTOM + 16}" text-anchor="middle">${formatTick(x)}</text>`;
	});

	return [
		`<text x="${LEFT}" y="20" font-size="13">${escapeText(plot.title)}</text>`,
		...grid,
		`<text x="${(LEFT + WIDTH - RIGHT) / 2}" y="${HEIGHT - 10}" text-anchor="middle">${escapeText(plot.xLabel)}</text>`,
		`<text transform="translate(14 ${HEIGHT / 2}) rotate(-90)" text-anchor="middle">${escapeText(plot.yLabel)}</text>`,
		...plot.series.map((series, i) => drawSeries(series, i, toX, toY)),
	].join('\n');
}

function drawSeries(series: PlotSeries, i: number, toX: (x: number) => number, toY: (y: number) => number): string {
	const colour = COLOURS[i % COLOURS.length]!;
	const line = series.points.filter(point => Number.isFinite(point.y)).map(point => `${toX(point.x).toFixed(1)},${toY(point.y).toFixed(1)}`);
	const labelY = TOP + 10 + (i * 16);
	return `<polyline fill="none" stroke="${colour}" stroke-width="1.6" points="${line.join(' ')}"/>`
		+ `<line x1="${WIDTH - RIGHT + 12}" x2="${WIDTH - RIGHT + 30}" y1="${labelY}" y2="${labelY}" stroke="${colour}" stroke-width="2"/>`
		+ `<text x="${WIDTH - RIGHT + 36}" y="${labelY + 4}">${escapeText(series.name)}</text>`;
}

/** Returns the smallest of 1, 1.25, 1.5, 2, 2.5, 5 and 10 times a power of ten that is not below the value; 1 unless the value is positive. */
function roundUpAxisMax(value: number): number {
	if (!(value > 0)) {
		return 1;
	}

	const power = 10 ** Math.floor(Math.log10(value));
	const factor = [1, 1.25, 1.5, 2, 2.5, 5, 10].find(candidate => candidate * power >= value) ?? 10;
	return factor * power;
}

function formatTick(value: number): string {
	return String(Number(value.toPrecision(3)));
}

function escapeText(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}
