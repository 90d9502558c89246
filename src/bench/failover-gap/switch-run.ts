import {ObjectKind} from '../../object-store/platform.js';
import type {StoredGroup} from '../../groups/stored-group.js';
import {getLongestFiling, getLongestGap, GROUP} from './filings.js';
import {
	closeStage, countFailed, openStage, type GapPolicy, type LossFigures,
} from './loss-run.js';

const BEFORE_MS = 1500;
const AFTER_MS = 10_000;

/** Drains the primary, as an operator would before maintenance, and tells what that cost; fails where its role did not move. */
export async function runSwitch(seed: number, policy: GapPolicy): Promise<LossFigures> {
	const stage = await openStage(seed, policy);
	const {system, stream, primary, promotions} = stage;
	await system.clock.advance(BEFORE_MS + ((seed * 137) % 500));
	const drainedAt = system.clock.now();
	const {cfg} = system.store.get(ObjectKind.Group, GROUP)!.value as StoredGroup;
	system.configure({
		...cfg,
		endpoints: cfg.endpoints.map(endpoint => endpoint.address === primary.address ? {...endpoint, order: 'drain'} : endpoint),
	});
	await system.clock.advance(AFTER_MS);
	const endedAt = system.clock.now();
	const count = promotions.length;
	await closeStage(stage);
	if (count === 0 || primary.member.getStatus().role === 'primary') {
		throw new Error('failover-gap: the drained primary kept its role');
	}

	return {
		gapMs: getLongestGap(stream.filings, drainedAt, endedAt).ms,
		longestMs: getLongestFiling(stream.filings),
		failed: countFailed(stream),
		promotions: count,
	};
}
