import {control} from './control.js';
import type {Experiment} from './experiment.js';
import {failoverGap} from './failover-gap.js';
import {hop} from './hop.js';
import {leadChanges} from './lead-changes.js';
import {newsSpread} from './news-spread.js';
import {overload} from './overload.js';
import {rateLimits} from './rate-limits.js';
import {replicaShare} from './replica-share.js';
import {statementScheduling} from './statement-scheduling.js';
import {storeRestore} from './store-restore.js';
import {workspaceLinks} from './workspace-links.js';
import {siteLoad} from './site-load.js';
import {pooling} from './pooling.js';

/** Every experiment, by its name on the command line. */
export const EXPERIMENTS: Readonly<Record<string, Experiment>> = {
	[control.name]: control,
	[failoverGap.name]: failoverGap,
	[hop.name]: hop,
	[leadChanges.name]: leadChanges,
	[newsSpread.name]: newsSpread,
	[overload.name]: overload,
	[rateLimits.name]: rateLimits,
	[replicaShare.name]: replicaShare,
	[siteLoad.name]: siteLoad,
	[pooling.name]: pooling,
	[statementScheduling.name]: statementScheduling,
	[storeRestore.name]: storeRestore,
	[workspaceLinks.name]: workspaceLinks,
};
