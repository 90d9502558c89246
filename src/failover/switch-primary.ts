import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import type {EndpointConfig, GroupConfig} from '../groups/group-config.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import {holdsLogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import {isServing} from './choose-candidate.js';
import {throwSwitchRefused} from './failover-errors.js';
import type {FailoverSettings} from './failover-settings.js';
import type {GroupControl} from './group-control.js';
import type {OtherOwners} from './other-owners.js';
import {type PromotedPrimary, fenceAndPromote} from './fence-and-promote.js';
import type {TermClaim} from './term-claim.js';
import type {WriteHolds} from './write-holds.js';

/** Options of {@link switchPrimary}. */
export type SwitchOptions = {
	readonly clock: Clock;
	readonly control: GroupControl;
	readonly knowledge: GroupKnowledge;
	readonly claim: TermClaim;
	readonly holds: WriteHolds;
	readonly others: OtherOwners;
	readonly cfg: GroupConfig;
	readonly settings: FailoverSettings;
	/** Name of the endpoint to promote. */
	readonly target: string;
	/** Time for the whole change, in milliseconds. */
	readonly ms: number;
	/** Identifies this change among the changes of all hosts. */
	readonly holdId: string;
	isHostLeaving(address: string): boolean;
	/** Called once a primary was promoted, while writes are still held. */
	onPromoted(promoted: PromotedPrimary): Promise<void>;
};

/**
 * Makes another endpoint primary without failing a request; rejects with FailoverError where the change fails.
 *
 * The owners hold writes while the target takes over. The hold always ends: with the new primary, with the old one where
 * the change is refused, and by a timer at each owner where this host dies.
 */
export async function switchPrimary(options: SwitchOptions): Promise<PromotedPrimary | undefined> {
	const {clock, knowledge, others, holds, settings, holdId} = options;
	const endsAt = clock.now() + options.ms;
	const primary = knowledge.getPrimary() ?? throwSwitchRefused('the group has no primary at present');
	if (primary.name === options.target) {
		return undefined;
	}

	const target = getTargetOrThrow(options);
	await catchUp(options, primary, target, endsAt - clock.now());

	const holdMs = Math.min(settings.holdMs, endsAt - clock.now());
	if (holdMs <= 0) {
		throwSwitchRefused(`no time was left of ${options.ms} ms`);
	}

	const heldUntil = clock.now() + holdMs;
	try {
		await holdAllWrites(options, holdMs);
		const status = await catchUp(options, primary, target, heldUntil - clock.now());
		return await takeOver(options, target, status, heldUntil);
	} finally {
		holds.release(holdId);
		await others.release(holdId);
	}
}

function getTargetOrThrow(options: SwitchOptions): EndpointConfig {
	const {cfg, target, knowledge} = options;
	const endpoint = cfg.endpoints.find(({name}) => name === target) ?? throwSwitchRefused(`the group has no endpoint ${target}`);
	if (!isServing(endpoint, knowledge.get(target)?.status, address => options.isHostLeaving(address))) {
		throwSwitchRefused(`${target} is drained, stopped or leaving`);
	}

	return endpoint;
}

async function holdAllWrites(options: SwitchOptions, ms: number): Promise<void> {
	const {holds, others, holdId} = options;
	const [held] = await Promise.all([holds.hold(holdId, ms), others.hold(holdId, ms)]);
	if (!held) {
		throwSwitchRefused(`writes in flight did not end within ${ms} ms`);
	}
}

/** Waits until the target holds every entry that the primary holds now; resolves with the primary's status. */
async function catchUp(options: SwitchOptions, primary: EndpointConfig, target: EndpointConfig, ms: number): Promise<EndpointStatus> {
	const {clock, control, settings} = options;
	const endsAt = clock.now() + ms;
	const status = await ask(primary.name, async () => control.status(primary.name, Math.min(ms, settings.probeMs)));
	if (status.role !== EndpointRole.Primary) {
		throwSwitchRefused(`${primary.name} is no longer primary`);
	}

	const reached = await ask(target.name, async () => control.waitFor(target.name, status.log, endsAt - clock.now()));
	if (!holdsLogPosition(reached.log, status.log)) {
		throwSwitchRefused(`${target.name} holds position ${reached.log.position} of ${status.log.position} and did not catch up in time`);
	}

	return status;
}

async function ask(endpoint: string, exchange: () => Promise<EndpointStatus>): Promise<EndpointStatus> {
	try {
		return await exchange();
	} catch (err) {
		return throwSwitchRefused(`${endpoint} gave no answer`, err);
	}
}

async function takeOver(options: SwitchOptions, target: EndpointConfig, old: EndpointStatus, heldUntil: number): Promise<PromotedPrimary> {
	const {clock, claim, settings, knowledge} = options;
	const claimReading = await claim.read(settings.claimMs);
	const term = await claim.claim(claimReading, Math.max(old.term, knowledge.highestTerm) + 1, settings.claimMs);

	// A late fence would meet writes that the owners admit again after the hold. The old primary is not fenced yet and goes on.
	if (clock.now() + settings.promoteMs > heldUntil) {
		throwSwitchRefused('the time for which writes are held ran out');
	}

	const promoted = await fenceAndPromote({...options, term, preferred: target.name});
	await options.onPromoted(promoted);
	return promoted.endpoint.name === target.name ? promoted : throwSwitchRefused(`${promoted.endpoint.name} held more than ${target.name} and stays primary`);
}
