import type {WorkClass} from '../groups/group-config.js';
import type {Refusal} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import {createComeBackTimes} from '../refusals/come-back-times.js';
import {AdaptiveLimit} from './adaptive-limit.js';
import type {Admission, AdmissionAnswer, AdmissionRequest} from './admission.js';
import {
	createDeadlinePassed, createDeadlineTooShort, createQueueFull, type AdmissionFacts,
} from './admission-refusals.js';
import {createClassQueues, WORK_CLASSES, type QueuedRequest} from './class-queues.js';
import {createClassShares, type Shares} from './class-shares.js';
import type {ConcurrencyLimit} from './concurrency-limit.js';
import {createHopelessWatch} from './hopeless-watch.js';
import {DeadlineOrder, type QueueOrder} from './queue-order.js';
import {createServiceTime} from './service-time.js';
import {createWaitPrediction, type QueueSituation} from './wait-prediction.js';

/** What an admission is made of. */
export type AdmissionOptions = {
	/** Name of the endpoint, for refusals. */
	readonly endpoint: string;
	/** Statements that the endpoint runs at once. */
	readonly slots: number;
	/** How many hosts look after the group and send the endpoint statements. */
	readonly owners: number;
	readonly shares: Shares;
	/** Wakes the admission when a waiting request becomes hopeless; decisions take `now`. */
	readonly clock: Clock;
	/** Most requests that wait in one class; default 10 for each slot. */
	readonly maxQueued?: number;
	/** Assumed time that a statement holds a slot until one was measured, in milliseconds; default 5. */
	readonly initialServiceMs?: number;
	/** Order within a class; default the earliest deadline first. */
	readonly order?: QueueOrder;
	/** Default adapts to measured times. */
	readonly limit?: ConcurrencyLimit;
};

/** A longer queue brings no more answers in time under overload, only longer waits; docs/notes/admission.md has the figures. */
const QUEUED_PER_SLOT = 10;
const INITIAL_SERVICE_MS = 5;

/** Creates the admission of one endpoint. */
export function createAdmission(options: AdmissionOptions): Admission {
	const {endpoint, slots, owners, clock} = options;
	const maxQueued = options.maxQueued ?? slots * QUEUED_PER_SLOT;
	const limit = options.limit ?? new AdaptiveLimit(slots, owners);
	const queues = createClassQueues(options.order ?? new DeadlineOrder());
	const shares = createClassShares(options.shares);
	const serviceTime = createServiceTime(options.initialServiceMs ?? INITIAL_SERVICE_MS);
	const prediction = createWaitPrediction(shares, serviceTime);
	const comeBackTimes = {deadline: createComeBackTimes(), interactive: createComeBackTimes(), background: createComeBackTimes()};
	let running = 0;
	/** When a slot was last given back, or the last free one taken. */
	let progressAt = 0;
	let closedBy: Refusal | undefined;

	const getSituation = (workClass: WorkClass, now: number): QueueSituation => ({
		limit: limit.limit,
		isContended: queues.total > queues.getLength(workClass),
		stalledMs: running < limit.limit ? 0 : Math.max(0, now - progressAt),
	});

	const hasFreeSlot = () => running < limit.limit && queues.total === 0;

	const predictWaitMs = (workClass: WorkClass, place: number, now: number) =>
		hasFreeSlot() ? 0 : prediction.predictMs(workClass, place, getSituation(workClass, now));

	const getHopelessAt = (req: AdmissionRequest) => req.deadlineAt - serviceTime.getClassMeanMs(req.class);

	const getFacts = (req: AdmissionRequest, enteredAt: number, predictedWaitMs: number, now: number): AdmissionFacts => {
		const situation = getSituation(req.class, now);
		return {
			endpoint,
			class: req.class,
			remainingMs: req.deadlineAt - now,
			waitedMs: now - enteredAt,
			predictedWaitMs,
			serviceMs: serviceTime.getClassMeanMs(req.class),
			turnMs: prediction.getTurnMs(req.class, situation),
			queued: queues.getLength(req.class),
			maxQueued,
			running,
			limit: situation.limit,
			share: shares.getShare(req.class),
			stalledMs: situation.stalledMs,
		};
	};

	const refuseFull = (req: AdmissionRequest, waitMs: number, now: number): AdmissionAnswer => {
		const facts = getFacts(req, now, waitMs, now);
		const retryAfterMs = comeBackTimes[req.class].take(waitMs, facts.turnMs, now);
		return {admitted: false, refusal: createQueueFull(facts, retryAfterMs)};
	};

	const refuseLate = (req: AdmissionRequest, enteredAt: number, waitMs: number, now: number): AdmissionAnswer => {
		const facts = getFacts(req, enteredAt, waitMs, now);
		const drainedMs = waitMs + facts.serviceMs - Math.max(0, facts.remainingMs);
		const retryAfterMs = comeBackTimes[req.class].take(drainedMs, facts.turnMs, now);
		const createRefusal = facts.remainingMs <= 0 ? createDeadlinePassed : createDeadlineTooShort;
		return {admitted: false, refusal: createRefusal(facts, retryAfterMs)};
	};

	const grant = (req: AdmissionRequest, enteredAt: number, now: number): AdmissionAnswer => {
		const claim = shares.claim(req.class, serviceTime.getClassMeanMs(req.class));
		let held = true;
		running++;
		progressAt = now;
		return {
			admitted: true,
			queuedMs: now - enteredAt,
			release(releasedAt, served) {
				// A second release would free a slot that another request holds, and the endpoint would run more than its limit.
				if (!held) {
					return;
				}

				held = false;
				const heldMs = releasedAt - now;
				shares.settle(claim, heldMs);
				serviceTime.observe(req.class, heldMs, served);
				limit.observe({class: req.class, heldMs, served});
				running--;
				progressAt = releasedAt;
				dispatch(releasedAt);
			},
		};
	};

	/** Refuses what would be late even if it ran now, so that its caller hears it before the deadline and no slot is spent on it. */
	const refuseHopeless = (now: number) => {
		for (const workClass of WORK_CLASSES) {
			const hopeless = queues.removeWhere(workClass, ({req}) => now > getHopelessAt(req));
			for (const {req, enteredAt, answer} of hopeless) {
				answer(refuseLate(req, enteredAt, predictWaitMs(workClass, 0, now), now));
			}
		}
	};

	function dispatch(now: number) {
		refuseHopeless(now);
		while (running < limit.limit) {
			const workClass = shares.pick(candidate => queues.getLength(candidate) > 0);
			const next = workClass && queues.shift(workClass);
			if (!next) {
				return;
			}

			prediction.learn(next.req.class, next.modelWaitMs, now - next.enteredAt);
			next.answer(grant(next.req, next.enteredAt, now));
		}
	}

	const watch = createHopelessWatch({
		clock,
		getFirstAt() {
			const times = WORK_CLASSES.flatMap(workClass => queues.getAll(workClass).map(({req}) => getHopelessAt(req)));
			return times.length > 0 ? Math.min(...times) : undefined;
		},
		onDue: dispatch,
	});

	const enqueue = async (req: AdmissionRequest, place: number, now: number) => new Promise<AdmissionAnswer>(resolve => {
		const modelWaitMs = (place + 1) * prediction.getTurnMs(req.class, getSituation(req.class, now));
		const queued: QueuedRequest = {
			req, enteredAt: now, modelWaitMs, answer: resolve,
		};
		queues.insert(queued);
		watch.expect(getHopelessAt(req));
	});

	return {
		async enter(req, now) {
			if (closedBy) {
				return {admitted: false, refusal: closedBy};
			}

			if (req.deadlineAt <= now) {
				return refuseLate(req, now, predictWaitMs(req.class, 0, now), now);
			}

			// A free slot is always given, however slow the endpoint seemed: refusing here, it would never be seen to be fast again.
			if (hasFreeSlot()) {
				return grant(req, now, now);
			}

			const place = queues.findPlace(req);
			const waitMs = predictWaitMs(req.class, place, now);
			if (now + waitMs > getHopelessAt(req)) {
				return refuseLate(req, now, waitMs, now);
			}

			if (queues.getLength(req.class) >= maxQueued) {
				return refuseFull(req, waitMs, now);
			}

			return enqueue(req, place, now);
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
				for (const {answer} of queues.removeWhere(workClass, () => true)) {
					answer({admitted: false, refusal});
				}
			}

			watch.wake();
		},
	};
}
