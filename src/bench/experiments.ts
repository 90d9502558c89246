import {control} from './control.js';
import type {Experiment} from './experiment.js';
import {hop} from './hop.js';
import {overload} from './overload.js';
import {pooling} from './pooling.js';

/** Every experiment, by its name on the command line. */
export const EXPERIMENTS: Readonly<Record<string, Experiment>> = {
	[control.name]: control,
	[hop.name]: hop,
	[overload.name]: overload,
	[pooling.name]: pooling,
};
