import {createHash} from 'node:crypto';
import {OPERATORS_OBJECT, operatorsKind, type OperatorRecord} from '../audit/audited-kinds.js';
import type {Service} from '../kernel/service.js';
import type {Log} from '../log/log.js';
import {ObjectKind, type Platform, type PlatformObject} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {OperatorRole, type OperatorAccess, type OperatorIdentity} from './operator-access.js';

/** Name of the operator who holds the token from the settings. */
export const BOOTSTRAP_OPERATOR = 'bootstrap';

/** How long a watch waits, in milliseconds: 900 hosts make 30 calls a second of it. */
const WATCH_MS = 30_000;

/** A watch that gives no answer is armed anew this much later, in milliseconds. */
const WATCH_GRACE_MS = 5000;

/** Pause after a watch that failed, in milliseconds, with jitter up to twice as long. */
const PAUSE_MS = 1000;

const CALL_TIMEOUT_MS = 2000;

/** Options of {@link createOperatorAccess}. */
export type OperatorAccessOptions = {
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** SHA-256 of the token that opens a system without operators, in hex; from the settings. */
	readonly bootstrapTokenHash?: string;
};

/** Tells operators apart, and lists them. */
export type OperatorAccessService = OperatorAccess & Service & {
	/** Reads the operators from the platform now; tells whether it answered. */
	refresh(): Promise<boolean>;
	/** The operators known here, without their hashes. */
	getOperators(): readonly OperatorIdentity[];
	/** Tells whether someone who was let in is still an operator of that role. */
	isCurrent(who: OperatorIdentity): boolean;
};

/** Creates the doorkeeper; it knows the operators once it has started and the platform has answered. */
export function createOperatorAccess(options: OperatorAccessOptions): OperatorAccessService {
	const {platform, clock, random, bootstrapTokenHash} = options;
	const log = options.log.withPrefix('operators: ');
	const abort = new AbortController();
	let version = 0;
	let revision = 0;
	let byHash = new Map<string, OperatorIdentity>();

	// Guards against an operator who was let out coming back in with a late answer: the highest version ever seen stays,
	// also through an outage of the platform.
	const take = (object: PlatformObject | undefined) => {
		if (object === undefined || object.deleted === true || object.version <= version) {
			return;
		}

		const operators = operatorsKind.parse(object.value).state ?? [];
		version = object.version;
		byHash = new Map(operators.map(operator => [operator.tokenHash, toIdentity(operator)]));
	};

	const refresh = async () => {
		try {
			take(await platform.get(ObjectKind.System, OPERATORS_OBJECT, CALL_TIMEOUT_MS));
			return true;
		} catch (err) {
			log.warn('the operators could not be read again, those known stay', {err});
			return false;
		}
	};

	const watch = async () => {
		const list = await platform.watch(ObjectKind.System, revision, WATCH_MS, WATCH_MS + WATCH_GRACE_MS);
		take(list.objects.find(object => object.name === OPERATORS_OBJECT));
		revision = Math.max(revision, list.revision);
	};

	const run = async () => {
		while (!abort.signal.aborted) {
			try {
				await watch();
			} catch (err) {
				log.warn('the operators could not be watched, those known stay', {err});
				await clock.sleep(PAUSE_MS * (1 + random.fraction()), abort.signal);
			}
		}
	};

	return {
		// Only hashes are compared, so the time that a look-up takes tells nothing of a token.
		identify(bearerToken) {
			if (!bearerToken) {
				return undefined;
			}

			const hash = hashToken(bearerToken);
			return byHash.get(hash) ?? (hash === bootstrapTokenHash?.toLowerCase() ? {name: BOOTSTRAP_OPERATOR, role: OperatorRole.Operate} : undefined);
		},
		refresh,
		getOperators: () => [...byHash.values()],
		isCurrent: ({name, role}) => name === BOOTSTRAP_OPERATOR
			? bootstrapTokenHash !== undefined
			: [...byHash.values()].some(operator => operator.name === name && operator.role === role),
		async start() {
			await refresh();
			void run();
		},
		// A watch that waits is left to end by itself: its answer can change nothing here that still matters.
		async stop() {
			abort.abort();
		},
	};
}

/** SHA-256 of a token in lower-case hex, as it is configured. */
export function hashToken(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}

function toIdentity({name, role}: OperatorRecord): OperatorIdentity {
	return {name, role};
}
