import type {WorkClass} from '../groups/group-config.js';
import type {Random} from '../random/random.js';
import type {Refusal} from '../refusals/refusal.js';
import type {Clock} from '../time/clock.js';
import type {
	Admission, AdmissionAnswer, AdmissionRequest,
} from './admission.js';
import {
	createDeadlinePassed, createDeadlineTooShort, createQueueFull, type AdmissionFacts,
} from './admission-refusals.js';
import {createClassQueues, WORK_CLASSES, type QueuedRequest} from './class-queues.js';
import {createClassShares, type Shares} from './class-shares.js';
import {FixedLimit, type ConcurrencyLimit} from './concurrency-limit.js';
import {DeadlineOrder, type QueueOrder} from './queue-order.js';
import {createServiceTime} from './service-time.js';

/** What an admission is made of. */
export type AdmissionOptions = {
	/** Name of the endpoint, for refusals. */
	readonly endpoint: string;
	/** Statements that the endpoint runs at once. */
	readonly slots: number;
	readonly shares: Shares;
	/** Wakes the admission when a waiting request's time runs out; decisions take `now`. */
	readonly clock: Clock;
	readonly random: Random;
	/** Most requests that wait in one class; default 20 for each slot. */
	readonly maxQueued?: number;
	/** Assumed time that a statement holds a slot until one was measured, in milliseconds; default 5. */
	readonly initialServiceMs?: number;
	readonly order?: QueueOrder;
	readonly limit?: ConcurrencyLimit;
};

const QUEUED_PER_SLOT = 20;
const INITIAL_SERVICE_MS = 5;

/** A come-back time is drawn out by up to this share of itself, so that callers refused together do not return together. */
const RETRY_JITTER = 0.5;

/** Creates the admission of one endpoint. */
export function createAdmission(options: AdmissionOptions): Admission {
	const {endpoint, slots, clock, random} = options;
	const maxQueued = options.maxQueued ?? slots * QUEUED_PER_SLOT;
	const limit = options.limit ?? new FixedLimit(slots);
	const queues = createClassQueues(options.order ?? new DeadlineOrder());
	const shares = createClassShares(options.shares);
	const serviceTime = createServiceTime(options.initialServiceMs ?? INITIAL_SERVICE_MS);
	let running = 0;
	let closedBy: Refusal | undefined;
	let wakeAt = Number.POSITIVE_INFINITY;
	let wake = new AbortController();

	/** Time between two turns of the class while all classes have work, in milliseconds. */
	const getTurnMs = (workClass: WorkClass) => {
		const contended = WORK_CLASSES.some(other => other !== workClass && queues.getLength(other) > 0);
		const part = contended ? Math.max(shares.getShare(workClass), 0.05) : 1;
		return serviceTime.getClassMeanMs(workClass) / (limit.limit * part);
	};

	const predictWaitMs = (workClass: WorkClass, place: number) =>
		running < limit.limit && queues.total === 0 ? 0 : (place + 1) * getTurnMs(workClass);

	const getFacts = (req: AdmissionRequest, predictedWaitMs: number, enteredAt: number, now: number): AdmissionFacts => ({
		endpoint,
		class: req.class,
		remainingMs: req.deadlineAt - now,
		predictedWaitMs,
		serviceMs: serviceTime.getClassMeanMs(req.class),
		queued: queues.getLength(req.class),
		maxQueued,
		running,
		limit: limit.limit,
		waitedMs: now - enteredAt,
	});

	const addJitter = (ms: number) => Math.ceil(ms * (1 + (RETRY_JITTER * random.fraction())));

	const refuseLate = (req: AdmissionRequest, waitMs: number, enteredAt: number, now: number): AdmissionAnswer => {
		const facts = getFacts(req, waitMs, enteredAt, now);
		const drainMs = predictWaitMs(req.class, queues.getLength(req.class));
		const refusal = facts.remainingMs <= 0
			? createDeadlinePassed(facts, addJitter(drainMs))
			: createDeadlineTooShort(facts, addJitter(Math.max(1, waitMs + facts.serviceMs - facts.remainingMs)));
		return {admitted: false, refusal};
	};

	const grant = (req: AdmissionRequest, enteredAt: number, now: number): AdmissionAnswer => {
		const claim = shares.claim(req.class, serviceTime.getClassMeanMs(req.class));
		let held = true;
		running++;
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
				limit.observe({
					class: req.class, heldMs, served, running,
				}, releasedAt);
				running--;
				dispatch(releasedAt);
			},
		};
	};

	const isHopeless = (req: AdmissionRequest, now: number) => now + serviceTime.getClassMeanMs(req.class) > req.deadlineAt;

	const refuseHopeless = (now: number) => {
		for (const workClass of WORK_CLASSES) {
			for (const queued of queues.removeWhere(workClass, ({req}) => isHopeless(req, now))) {
				queued.answer(refuseLate(queued.req, 0, queued.enteredAt, now));
			}
		}
	};

	function dispatch(now: number) {
		refuseHopeless(now);
		while (running < limit.limit) {
			const workClass = shares.pick(candidate => queues.getLength(candidate) > 0);
			const queued = workClass && queues.shift(workClass);
			if (!queued) {
				return;
			}

			queued.answer(grant(queued.req, queued.enteredAt, now));
		}
	}

	/** Sleeps until the first waiting request becomes hopeless, while any waits. */
	const watchDeadlines = async () => {
		while (queues.total > 0) {
			let firstAt = Number.POSITIVE_INFINITY;
			for (const workClass of WORK_CLASSES) {
				const serviceMs = serviceTime.getClassMeanMs(workClass);
				for (const {req} of queues.getAll(workClass)) {
					firstAt = Math.min(firstAt, req.deadlineAt - serviceMs);
				}
			}

			wakeAt = firstAt;
			wake = new AbortController();
			await clock.sleep(Math.max(1, Math.ceil(firstAt - clock.now())), wake.signal);
			dispatch(clock.now());
		}

		wakeAt = Number.POSITIVE_INFINITY;
	};

	const watch = (req: AdmissionRequest) => {
		const hopelessAt = req.deadlineAt - serviceTime.getClassMeanMs(req.class);
		if (wakeAt === Number.POSITIVE_INFINITY) {
			wakeAt = hopelessAt;
			void watchDeadlines();
		} else if (hopelessAt < wakeAt) {
			wake.abort();
		}
	};

	const enqueue = async (req: AdmissionRequest, now: number) => new Promise<AdmissionAnswer>(resolve => {
		const queued: QueuedRequest = {req, enteredAt: now, answer: resolve};
		queues.insert(queued);
		watch(req);
	});

	return {
		async enter(req, now) {
			if (closedBy) {
				return {admitted: false, refusal: closedBy};
			}

			if (req.deadlineAt <= now) {
				return refuseLate(req, 0, now, now);
			}

			// A free slot is always given, however slow the endpoint seems: only what runs can show that it is fast again.
			if (running < limit.limit && queues.total === 0) {
				return grant(req, now, now);
			}

			const waitMs = predictWaitMs(req.class, queues.findPlace(req));
			if (now + waitMs + serviceTime.getClassMeanMs(req.class) > req.deadlineAt) {
				return refuseLate(req, waitMs, now, now);
			}

			if (queues.getLength(req.class) >= maxQueued) {
				const facts = getFacts(req, waitMs, now, now);
				return {admitted: false, refusal: createQueueFull(facts, addJitter(waitMs))};
			}

			return enqueue(req, now);
		},
		getPredictedWaitMs: workClass => predictWaitMs(workClass, queues.getLength(workClass)),
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
				for (const queued of queues.removeWhere(workClass, () => true)) {
					queued.answer({admitted: false, refusal});
				}
			}

			wake.abort();
		},
	};
}
