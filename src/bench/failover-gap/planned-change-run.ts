import {ObjectKind} from '../../object-store/platform.js';
import type {StoredGroup} from '../../groups/stored-group.js';
import {getLongestFiling, getLongestGap, GROUP} from './filings.js';
import {
	countFailed, startTestbed, stopTestbed, type GapPolicy, type LossFigures,
} from './loss-run.js';

const WARM_UP_MS = 1500;
const OBSERVATION_MS = 10_000;

/** Drains the primary, as an operator does before maintenance, and returns the figures; throws if it is still primary at the end. */
export async function runPlannedChange(seed: number, policy: GapPolicy): Promise<LossFigures> {
	const testbed = await startTestbed(seed, policy);
	const {system, stream, primary, promotions} = testbed;
	await system.clock.advance(WARM_UP_MS + ((seed * 137) % 500));
	const drainedAt = system.clock.now();
	const {cfg} = system.store.get(ObjectKind.Group, GROUP)!.value as StoredGroup;
	system.configure({
		...cfg,
		endpoints: cfg.endpoints.map(endpoint => endpoint.address === primary.address ? {...endpoint, order: 'drain'} : endpoint),
	});
	await system.clock.advance(OBSERVATION_MS);
	const endedAt = system.clock.now();
	const count = promotions.length;
	await stopTestbed(testbed);
	if (count === 0 || primary.member.getStatus().role === 'primary') {
		throw new Error('failover-gap: the drained server is still primary, or nothing was promoted');
	}

	return {
		gapMs: getLongestGap(stream.filings, drainedAt, endedAt).ms,
		longestMs: getLongestFiling(stream.filings),
		failed: countFailed(stream),
		promotions: count,
	};
}
