/** A piece of source that implements a guard, and its replacement without the guard. */
export type SourceChange = {
	/** Path relative to the project's root. */
	readonly file: string;
	/** Text that occurs exactly once in the file. */
	readonly from: string;
	readonly to: string;
};

/** A guard that can be removed from the real source. */
export type MissingGuard = {
	readonly name: string;
	/** Description of the removed guard. */
	readonly without: string;
	readonly changes: readonly SourceChange[];
	/** Whether schedules of the failover lease alone show its absence; else those of whole proxies do. */
	readonly isOfLease?: true;
	/** Whether only schedules in which the primary waits for a replica show its absence. */
	readonly isOfReplicas?: true;
};

const inLeadership = (file: string, from: string, to: string): SourceChange => ({file: `src/leadership/${file}`, from, to});
const inGateway = (file: string, from: string, to: string): SourceChange => ({file: `src/gateway/${file}`, from, to});

/** The guards of leadership, the gateway and the mirror, and two properties of the stand-ins on which they rely; each is removed on its own. */
export const MISSING_GUARDS: readonly MissingGuard[] = [
	{
		name: 'proven-successor',
		without: 'the proof that a successor holds every acknowledged commit, and the comparison with positions known to be below some',
		isOfReplicas: true,
		changes: [
			inLeadership('proven-successors.ts', 'getLowest([proof.required, acknowledgedEnd, record.required])', 'getLowest([{term: 0, position: 0}])'),
			inLeadership('proven-successors.ts', 'sufficient && exceeded ? getLaterLogPosition(sufficient, exceeded) : sufficient;', 'exceeded ? sufficient : sufficient;'),
		],
	},
	{
		name: 'replica-proof',
		without: 'the proof alone',
		isOfReplicas: true,
		changes: [inLeadership('proven-successors.ts', 'getLowest([proof.required, acknowledgedEnd, record.required])', 'getLowest([{term: 0, position: 0}])')],
	},
	{
		name: 'remembered-members',
		without: 'the stored members of a replica set: only registered endpoints count',
		isOfReplicas: true,
		changes: [inLeadership('proven-successors.ts', 'extendReplicaSet(replicaSet, {', 'extendReplicaSet(undefined, {')],
	},
	{
		name: 'exceeded-position',
		without: 'the comparison with positions that hosts know to be below acknowledged commits',
		isOfReplicas: true,
		changes: [inLeadership('proven-successors.ts', 'sufficient && exceeded ? getLaterLogPosition(sufficient, exceeded) : sufficient;', 'exceeded ? sufficient : sufficient;')],
	},
	{
		name: 'newest-acknowledged',
		without: 'the newest position that a host acknowledged: it reports the first one',
		isOfReplicas: true,
		changes: [
			inLeadership('acknowledged-commits.ts', 'raise(newest, group, position);', 'newest.set(group, newest.get(group) ?? position);'),
		],
	},
	{
		name: 'elapsed-clock',
		without: 'a clock that includes suspensions',
		changes: [{file: 'src/stand-ins/proxies/host-clock.ts', from: 'elapsed: () => sharedClock.now(),', to: 'elapsed: now,'}],
	},
	{
		name: 'second-judgement',
		without: 'the check of the primary lease after a commit\'s answer has arrived',
		changes: [inGateway('acknowledge-commit.ts', 'const until = clock.now() + LEASE_WAIT_MS;', 'const until = clock.now() + LEASE_WAIT_MS; if (until > 0) return true;')],
	},
	{
		name: 'wait-for-silent',
		without: 'the wait for hosts that do not acknowledge',
		changes: [
			inLeadership('lease-revocation.ts', 'while ((!hosts || silent.length > 0) && elapsedClock', 'while (!hosts && elapsedClock'),
			inLeadership('lease-revocation.ts', 'while (byTime && elapsedClock', 'while (!hosts && elapsedClock'),
		],
	},
	{
		name: 'wait-for-marked',
		without: 'the wait for hosts that are marked as unresponsive',
		changes: [inLeadership('lease-revocation.ts', 'const hasUnresponsiveHosts = hosts?.some(host => host.gone) ?? true;', 'const hasUnresponsiveHosts = !hosts;')],
	},
	{
		name: 'from-asking',
		without: 'leases counted from the request: they count from the response',
		changes: [{file: 'src/mirror/store-reader.ts', from: 'onConfirmed(askedAt);', to: 'onConfirmed(elapsedClock.elapsed());'}],
	},
	{
		name: 'condition',
		without: 'the condition of an update',
		changes: [{
			file: 'src/stand-ins/metadata-store/in-memory-metadata-store.ts',
			from: 'if ((records.get(kind)!.get(name)?.version ?? 0) !== getWithinGeneration(expectedVersion)) {',
			to: 'if (expectedVersion < 0) {',
		}],
	},
	{
		name: 'duty-end',
		without: 'the check that the failover lease outlasts an order',
		changes: [inLeadership('failover-lease.ts', 'return held && elapsedClock.elapsed() + ms < held.until ? held.token : undefined;', 'return held && ms > 0 ? held.token : undefined;')],
	},
	{
		name: 'duty-of-another',
		without: 'the wait for the end of another host\'s failover lease',
		changes: [inLeadership('failover-lease.ts', 'now - seenSince >= FAILOVER_LEASE_MS + MARGIN_MS;', 'now >= seenSince;')],
	},
	{
		name: 'shown-term',
		without: 'the minimum term that shows the effect of an order',
		changes: [inLeadership('promote-best.ts', '(status.term >= minTerm || ', '(minTerm > 0 || ')],
	},
	{
		name: 'later-order',
		without: 'the check for earlier orders: each is treated as the first',
		changes: [inLeadership('promote-best.ts', '\t\tisFirst = false;\n', '')],
	},
	{
		name: 'furthest-log',
		without: 'the furthest log in the choice of a successor',
		changes: [inLeadership('choose-successor.ts', 'compareLogPositions(right.status.received, left.status.received)', '0')],
	},
	{
		name: 'own-floor',
		without: 'the floor of the session\'s own writes',
		changes: [inGateway('read-floors.ts', 'memory.floors.get(route.group) : undefined;', 'undefined : undefined;')],
	},
	{
		name: 'floor-age',
		without: 'the exact age of a floor: it is twice the route\'s',
		changes: [inGateway('read-floors.ts', 'arrivedAt - route.maxReadAgeMs', 'arrivedAt - (2 * route.maxReadAgeMs)')],
	},
	{
		name: 'no-second-send',
		without: 'the rule that a sent write is not sent again',
		changes: [inGateway('run-write.ts', 'return refuse(AnswerCode.OutcomeUnknown, \'the write was sent and no answer came\');', 'continue;')],
	},
	{
		name: 'true-unknown',
		without: 'the report of an unknown outcome: it is reported as not run',
		changes: [inGateway('run-write.ts', 'refuse(AnswerCode.OutcomeUnknown, \'the write was sent', 'refuse(AnswerCode.Overloaded, \'the write was sent')],
	},
	{
		name: 'seen-fence',
		without: 'the check of fences: endpoints that answer suffice',
		changes: [inLeadership('fence-check.ts', 'bounded.value.fencedTerm <= term && ', '')],
	},
	{
		name: 'kept-fence',
		without: 'the second check of a candidate\'s fence',
		changes: [inLeadership('replace-primary.ts', 'byTime ? await keepFenced(parts, others, before) : others', 'others')],
	},
	{
		name: 'registered',
		without: 'registration as a condition of a primary lease',
		changes: [
			inLeadership('primary-leases.ts', 'isUnexpired(group, record.epoch, now) && isRegistered() ?', 'isUnexpired(group, record.epoch, now) ?'),
			inLeadership('primary-leases.ts', '!isRevoked && isUnexpired(group, epoch, now) && isRegistered()', '!isRevoked && isUnexpired(group, epoch, now)'),
		],
	},
	{
		name: 'steady',
		without: 'the check of a record\'s phase: one that is changing gives a lease too',
		changes: [
			inLeadership('primary-leases.ts', 'if (record.phase === LeadershipPhase.Steady && mirror', 'if (mirror'),
			inLeadership('primary-leases.ts', 'const usable = record?.phase === LeadershipPhase.Steady && record.epoch', 'const usable = record !== undefined && record.epoch'),
		],
	},
	{
		name: 'give-up',
		without: 'the revocation of a primary lease on request',
		changes: [
			inLeadership('leadership-watch.ts', 'primaryLeases.pause(group, epoch);', ''),
			inLeadership('leadership-watch.ts', 'primaryLeases.revoke(group, epoch);', ''),
		],
	},
	{
		name: 'own-give-up',
		without: 'the revocation of its own primary lease by the host that replaces the primary',
		changes: [
			inLeadership('lease-revocation.ts', 'primaryLeases.pause(group, epoch);', ''),
			inLeadership('lease-revocation.ts', 'primaryLeases.revoke(group, epoch);', ''),
		],
	},
	{
		name: 'tell-changing',
		without: 'the report of a change in progress to other hosts',
		changes: [{file: 'src/mirror/change-feed-server.ts', from: 'changing: options.getChanging(),', to: 'changing: [],'}],
	},
	{
		name: 'all-hosts',
		without: 'the confirmation by every host: a single one suffices if the store does not confirm',
		changes: [{file: 'src/mirror/peer-confirmation.ts', from: '&& responses.every(response => response?.revision', to: '&& responses.some(response => response?.revision'}],
	},
	{
		name: 'after-wait',
		without: 'the second check of the primary lease after the wait for a connection',
		changes: [inGateway('acquire-link.ts', 'const stillHolds = !lease ||', 'const stillHolds = lease !== null ||')],
	},
	{
		name: 'cut-open',
		without: 'the closing of a connection with an open transaction',
		changes: [inGateway('acquire-link.ts', 'if (acquired.state !== SessionState.Idle) {', 'if (acquired === null) {')],
	},
	{
		name: 'affirmed-evidence',
		without: 'the current store generation of a record as a condition of a primary lease',
		changes: [inLeadership('primary-leases.ts', ' && isInCurrentGeneration(record, mirror.state.revision)) {', ') {')],
	},
	{
		name: 'affirmed-change',
		without: 'the check of a record\'s store generation in a replacement: an older record is used as it is',
		changes: [inLeadership('replace-primary.ts', 'const before = isInCurrentGeneration(held, revision) ? held :', 'const before = isInCurrentGeneration(held, held.version) ? held :')],
	},
	{
		name: 'later-epoch',
		without: 'the retained records with a later epoch than the store shows',
		changes: [{file: 'src/mirror/mirror-state.ts', from: 'return later.length === 0 ? read :', to: 'return later.length >= 0 ? read :'}],
	},
	{
		name: 'vouched-by-evidence',
		without: 'a held primary lease as a condition of rewriting a record',
		changes: [
			inLeadership('rewrite-record.ts', 'if (!holdsLease(record)) {', 'if (!isPending(record)) {'),
			inLeadership('rewrite-record.ts', 'if (!isPending(record) || !holdsLease(record) || underWay', 'if (!isPending(record) || underWay'),
		],
	},
	{
		name: 'still-stored',
		without: 'the check before an order that the change is still stored',
		changes: [inLeadership('replace-primary.ts', 'if (!await isStillStored(parts, changing, giveUpAt)) {', 'if (giveUpAt < 0) {')],
	},
	{
		name: 'lost-hosts',
		without: 'the wait for hosts that a restored store may have lost',
		changes: [inLeadership('lease-revocation.ts', 'silent.length > 0 || hasUnresponsiveHosts || mayLackHosts;', 'silent.length > 0 || hasUnresponsiveHosts;')],
	},
	{
		name: 'duty-after-return',
		without: 'the wait for a failover lease that a restored store may have lost',
		changes: [inLeadership('failover-lease.ts', 'if (isRecentlyRestored(now)) {', 'if (isRecentlyRestored(now) && now < 0) {')],
	},
	{
		name: 'token-of-generation',
		without: 'tokens higher than all those of earlier store generations',
		changes: [inLeadership('failover-lease.ts', 'getNextInGeneration(generation, record?.token ?? 0)', '(record?.token ?? 0) + 1')],
	},
	{
		name: 'release-in-order',
		without: 'the check of orders in flight before the failover lease is released',
		changes: [inLeadership('failover-lease.ts', 'if (!isHeld(now) || mayBeOrdered(now)) {', 'if (!isHeld(now)) {')],
		isOfLease: true,
	},
	{
		name: 'renewal-after-release',
		without: 'the check of a renewal\'s response for a release in the meantime',
		changes: [inLeadership('failover-lease.ts', 'if (releases !== releasesBefore) {', 'if (releases < 0) {')],
		isOfLease: true,
	},
	{
		name: 'drop-before-release',
		without: 'the end of the holder\'s own right before its release is sent',
		changes: [inLeadership('failover-lease.ts', '\t\t\theld = undefined;\n\t\t\treleases++;\n', '\t\t\treleases++;\n')],
		isOfLease: true,
	},
	{
		name: 'leaving-bound',
		without: 'the bound on new work at a leaving endpoint',
		changes: [{file: 'src/links/endpoint-directory.ts', from: '!leavingEndpoints.isGraceOver(endpointId, now)', to: 'endpointId !== \'\' && now > 0'}],
	},
	{
		name: 'versions-of-before',
		without: 'the check of conditions on versions of an earlier store generation',
		changes: [{file: 'src/mirror/guard-generations.ts', from: 'if (version !== 0 && getGeneration(version) < newest) {', to: 'if (version < 0) {'}],
	},
];

/** Finds a guard by its name. */
export function getMissingGuardOrThrow(name: string): MissingGuard {
	const found = MISSING_GUARDS.find(guard => guard.name === name);
	if (!found) {
		throw new Error(`there is no guard "${name}": ${MISSING_GUARDS.map(each => each.name).join(', ')}`);
	}

	return found;
}
