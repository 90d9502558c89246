import type {WorkClass} from '../groups/group-config.js';
import type {Refusal} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import {createRetryAfterSlots} from '../refusals/retry-after-slots.js';
import {createLatestStartTimer} from '../scheduling/latest-start-timer.js';
import {createServiceTime} from '../scheduling/service-time.js';
import {AdaptiveLimit} from './adaptive-limit.js';
import type {Admission, AdmissionResult, AdmissionRequest} from './admission.js';
import {
	createDeadlinePassed, createDeadlineTooShort, createQueueFull, type AdmissionFacts,
} from './admission-refusals.js';
import {createClassQueues, WORK_CLASSES, type QueuedRequest} from './class-queues.js';
import {createClassShares, type Shares} from './class-shares.js';
import type {ConcurrencyLimit} from './concurrency-limit.js';
import {DeadlineOrder, type QueueOrder} from './queue-order.js';
import {createWaitPrediction, type QueueState} from './wait-prediction.js';

/** Options of {@link createAdmission}. */
export type AdmissionOptions = {
	/** Name of the endpoint, for refusals. */
	readonly endpoint: string;
	/** Statements that the endpoint runs at once. */
	readonly slots: number;
	/** Number of hosts that own the group and send the endpoint statements. */
	readonly owners: number;
	readonly shares: Shares;
	/** Times the refusal of waiting requests that can no longer meet their deadlines; decisions take `now`. */
	readonly clock: Clock;
	/** Maximum number of waiting requests of one class; default 10 for each slot. */
	readonly maxQueued?: number;
	/** Assumed time for which a statement holds a slot until one was measured, in milliseconds; default 5. */
	readonly initialServiceMs?: number;
	/** Order within a class; default the earliest deadline first. */
	readonly order?: QueueOrder;
	/** Limit of running statements; default one that adapts to measured times. */
	readonly limit?: ConcurrencyLimit;
};

/** Under overload a longer queue serves no more requests in time and only lengthens waits; docs/notes/admission.md has the figures. */
const QUEUED_PER_SLOT = 10;
const INITIAL_SERVICE_MS = 5;

/** Creates the admission of one endpoint. */
export function createAdmission(options: AdmissionOptions): Admission {
	const {endpoint, slots, owners, clock} = options;
	const maxQueued = options.maxQueued ?? slots * QUEUED_PER_SLOT;
	const limit = options.limit ?? new AdaptiveLimit(slots, owners);
	const queues = createClassQueues(options.order ?? new DeadlineOrder());
	const shares = createClassShares(options.shares);
	const serviceTime = createServiceTime<WorkClass>(options.initialServiceMs ?? INITIAL_SERVICE_MS);
	const prediction = createWaitPrediction(shares, serviceTime);
	const retryDelays = {deadline: createRetryAfterSlots(), interactive: createRetryAfterSlots(), background: createRetryAfterSlots()};
	let running = 0;
	/** Time at which a slot was last granted or released. */
	let progressAt = 0;
	let closedBy: Refusal | undefined;

	const getQueueState = (workClass: WorkClass, now: number): QueueState => ({
		limit: limit.limit,
		isContended: queues.total > queues.getLength(workClass),
		stalledMs: running < limit.limit ? 0 : Math.max(0, now - progressAt),
	});

	const hasFreeSlot = () => running < limit.limit && queues.total === 0;

	const predictWaitMs = (workClass: WorkClass, position: number, now: number) =>
		hasFreeSlot() ? 0 : prediction.predictMs(workClass, position, getQueueState(workClass, now));

	const getLatestStartAt = (req: AdmissionRequest) => req.deadlineAt - serviceTime.getClassMeanMs(req.class);

	const getFacts = (req: AdmissionRequest, queuedAt: number, predictedWaitMs: number, now: number): AdmissionFacts => {
		const queueState = getQueueState(req.class, now);
		return {
			endpoint,
			class: req.class,
			remainingMs: req.deadlineAt - now,
			waitedMs: now - queuedAt,
			predictedWaitMs,
			serviceMs: serviceTime.getClassMeanMs(req.class),
			turnMs: prediction.getTurnMs(req.class, queueState),
			queued: queues.getLength(req.class),
			maxQueued,
			running,
			limit: queueState.limit,
			share: shares.getShare(req.class),
			stalledMs: queueState.stalledMs,
		};
	};

	const refuseFull = (req: AdmissionRequest, waitMs: number, now: number): AdmissionResult => {
		const facts = getFacts(req, now, waitMs, now);
		const retryAfterMs = retryDelays[req.class].take(waitMs, facts.turnMs, now);
		return {admitted: false, refusal: createQueueFull(facts, retryAfterMs)};
	};

	const refuseDeadline = (req: AdmissionRequest, queuedAt: number, waitMs: number, now: number): AdmissionResult => {
		const facts = getFacts(req, queuedAt, waitMs, now);
		const drainedMs = waitMs + facts.serviceMs - Math.max(0, facts.remainingMs);
		const retryAfterMs = retryDelays[req.class].take(drainedMs, facts.turnMs, now);
		const createRefusal = facts.remainingMs <= 0 ? createDeadlinePassed : createDeadlineTooShort;
		return {admitted: false, refusal: createRefusal(facts, retryAfterMs)};
	};

	const grant = (req: AdmissionRequest, queuedAt: number, now: number): AdmissionResult => {
		const reservation = shares.reserve(req.class, serviceTime.getClassMeanMs(req.class));
		let isHeld = true;
		running++;
		progressAt = now;
		return {
			admitted: true,
			queuedMs: now - queuedAt,
			release(releasedAt, served) {
				// A second release would free a slot that another request holds, and more statements than the limit would run.
				if (!isHeld) {
					return;
				}

				isHeld = false;
				const heldMs = releasedAt - now;
				shares.complete(reservation, heldMs);
				serviceTime.observe(req.class, heldMs, served);
				limit.observe({class: req.class, heldMs, served});
				running--;
				progressAt = releasedAt;
				dispatch(releasedAt);
			},
		};
	};

	/** Refuses requests that would miss their deadlines even if they ran now, so that callers learn it early and no slot is wasted. */
	const refuseInfeasible = (now: number) => {
		for (const workClass of WORK_CLASSES) {
			const infeasible = queues.removeWhere(workClass, ({req}) => now > getLatestStartAt(req));
			for (const {req, queuedAt, resolve} of infeasible) {
				resolve(refuseDeadline(req, queuedAt, predictWaitMs(workClass, 0, now), now));
			}
		}
	};

	function dispatch(now: number) {
		refuseInfeasible(now);
		while (running < limit.limit) {
			const workClass = shares.pick(candidate => queues.getLength(candidate) > 0);
			const next = workClass && queues.shift(workClass);
			if (!next) {
				return;
			}

			prediction.learn(next.req.class, next.modelWaitMs, now - next.queuedAt);
			next.resolve(grant(next.req, next.queuedAt, now));
		}
	}

	const latestStartTimer = createLatestStartTimer({
		clock,
		getNextAt() {
			const times = WORK_CLASSES.flatMap(workClass => queues.getAll(workClass).map(({req}) => getLatestStartAt(req)));
			return times.length > 0 ? Math.min(...times) : undefined;
		},
		onDue: dispatch,
	});

	const enqueue = async (req: AdmissionRequest, position: number, now: number) => new Promise<AdmissionResult>(resolve => {
		const modelWaitMs = (position + 1) * prediction.getTurnMs(req.class, getQueueState(req.class, now));
		const queued: QueuedRequest = {
			req, queuedAt: now, modelWaitMs, resolve,
		};
		queues.insert(queued);
		latestStartTimer.schedule(getLatestStartAt(req));
	});

	return {
		async acquire(req, now) {
			if (closedBy) {
				return {admitted: false, refusal: closedBy};
			}

			if (req.deadlineAt <= now) {
				return refuseDeadline(req, now, predictWaitMs(req.class, 0, now), now);
			}

			// A free slot is always granted, however slow the endpoint was: if requests were refused here, its recovery would never be measured.
			if (hasFreeSlot()) {
				return grant(req, now, now);
			}

			const position = queues.findPosition(req);
			const waitMs = predictWaitMs(req.class, position, now);
			if (now + waitMs > getLatestStartAt(req)) {
				return refuseDeadline(req, now, waitMs, now);
			}

			if (queues.getLength(req.class) >= maxQueued) {
				return refuseFull(req, waitMs, now);
			}

			return enqueue(req, position, now);
		},
		getPredictedWaitMs: (workClass, now) => predictWaitMs(workClass, queues.getLength(workClass), now),
		getLoad: () => ({
			running,
			limit: limit.limit,
			queued: {
				deadline: queues.getLength('deadline'),
				interactive: queues.getLength('interactive'),
				background: queues.getLength('background'),
			},
			serviceMs: serviceTime.getMeanMs(),
		}),
		close(refusal) {
			closedBy = refusal;
			for (const workClass of WORK_CLASSES) {
				for (const {resolve} of queues.removeWhere(workClass, () => true)) {
					resolve({admitted: false, refusal});
				}
			}

			latestStartTimer.fireNow();
		},
	};
}
