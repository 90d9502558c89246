import {createHash} from 'node:crypto';
import {OPERATORS_OBJECT, operatorsKind, type OperatorRecord} from '../audit/audited-kinds.js';
import type {Service} from '../kernel/service.js';
import type {Log} from '../log/log.js';
import {ObjectKind, type Platform, type PlatformObject} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {OperatorRole, type OperatorAccess, type OperatorIdentity} from './operator-access.js';

/** Name of the operator with the token whose hash is in the settings. */
export const BOOTSTRAP_OPERATOR = 'bootstrap';

/** How long the platform holds a watch open while nothing changes, in milliseconds: with 900 hosts this causes 30 calls a second. */
const WATCH_MS = 30_000;

/** How long a watch may take beyond its wait before it counts as failed, in milliseconds. */
const WATCH_RESPONSE_GRACE_MS = 5000;

/** Minimum delay after a failed watch, in milliseconds; jitter makes it up to twice as long. */
const RETRY_DELAY_MS = 1000;

const CALL_TIMEOUT_MS = 2000;

/** Options of {@link createOperatorAccess}. */
export type OperatorAccessOptions = {
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** SHA-256 of the token that gives access to a system without operators, in hex; from the settings. */
	readonly bootstrapTokenHash?: string;
};

/** Identifies operators by their tokens and lists them. */
export type OperatorAccessService = OperatorAccess & Service & {
	/** Reads the operators from the platform now; resolves with whether that succeeded. */
	refresh(): Promise<boolean>;
	/** Returns the operators known on this host, without their hashes. */
	getOperators(): readonly OperatorIdentity[];
	/** Returns whether an identified operator still exists with the same role. */
	isCurrent(who: OperatorIdentity): boolean;
};

/** Creates the service that identifies operators. It knows them once it has started and the platform has responded. */
export function createOperatorAccess(options: OperatorAccessOptions): OperatorAccessService {
	const {platform, clock, random, bootstrapTokenHash} = options;
	const log = options.log.withPrefix('operators: ');
	const abort = new AbortController();
	let version = 0;
	let revision = 0;
	let identitiesByHash = new Map<string, OperatorIdentity>();

	// Guards against a removed operator who regains access through a late response: the highest version ever received
	// stays in force, also during an outage of the platform.
	const applyObject = (object: PlatformObject | undefined) => {
		if (object === undefined || object.deleted === true || object.version <= version) {
			return;
		}

		const operators = operatorsKind.parse(object.value).state ?? [];
		version = object.version;
		identitiesByHash = new Map(operators.map(operator => [operator.tokenHash, toIdentity(operator)]));
	};

	const refresh = async () => {
		try {
			applyObject(await platform.get(ObjectKind.System, OPERATORS_OBJECT, CALL_TIMEOUT_MS));
			return true;
		} catch (err) {
			log.warn('could not read the operators, keeping the known ones', {err});
			return false;
		}
	};

	const watch = async () => {
		const list = await platform.watch(ObjectKind.System, revision, WATCH_MS, WATCH_MS + WATCH_RESPONSE_GRACE_MS);
		applyObject(list.objects.find(object => object.name === OPERATORS_OBJECT));
		revision = Math.max(revision, list.revision);
	};

	const runWatch = async () => {
		while (!abort.signal.aborted) {
			try {
				await watch();
			} catch (err) {
				log.warn('could not watch the operators, keeping the known ones', {err});
				await clock.sleep(RETRY_DELAY_MS * (1 + random.fraction()), abort.signal);
			}
		}
	};

	return {
		// Only hashes are compared, so the duration of a lookup reveals nothing about a token.
		identify(bearerToken) {
			if (!bearerToken) {
				return undefined;
			}

			const hash = hashToken(bearerToken);
			return identitiesByHash.get(hash) ?? (hash === bootstrapTokenHash?.toLowerCase() ? {name: BOOTSTRAP_OPERATOR, role: OperatorRole.Operate} : undefined);
		},
		refresh,
		getOperators: () => [...identitiesByHash.values()],
		isCurrent: ({name, role}) => name === BOOTSTRAP_OPERATOR
			? bootstrapTokenHash !== undefined
			: [...identitiesByHash.values()].some(operator => operator.name === name && operator.role === role),
		async start() {
			await refresh();
			void runWatch();
		},
		// A waiting watch is not cancelled: its response no longer has any relevant effect.
		async stop() {
			abort.abort();
		},
	};
}

/** Returns the SHA-256 of a token in lower-case hex, as in the stored operators. */
export function hashToken(token: string): string {
	return createHash('sha256').update(token).digest('hex');
}

function toIdentity({name, role}: OperatorRecord): OperatorIdentity {
	return {name, role};
}
