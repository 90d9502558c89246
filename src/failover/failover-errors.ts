import ModernError from 'modern-errors';

/** A change of primary that failed; the message gives the reason. */
export const FailoverError = ModernError.subclass('FailoverError', {
	props: {code: 'failed' as FailoverErrorCode},
});

/** Why a change of primary failed. */
export const FailoverErrorCode = {
	/** Fewer than a majority of the servers answered or granted the term. */
	NoMajority: 'no-majority',
	/** A server has already promised a higher term, or this promoter was paused for too long. */
	TermPassed: 'term-passed',
	/** Another host claimed the term; this host defers to it for a while. */
	Contested: 'contested',
	/** The group has a primary after all. */
	PrimaryExists: 'primary-stands',
	/** A planned change was refused; the primary is the same as before, or failover replaces it. */
	SwitchRefused: 'switch-refused',
	/** Anything else. */
	Failed: 'failed',
} as const;

/** One of the codes in {@link FailoverErrorCode}. */
export type FailoverErrorCode = typeof FailoverErrorCode[keyof typeof FailoverErrorCode];

/** Narrows to a FailoverError. */
export function isFailoverError(err: unknown): err is InstanceType<typeof FailoverError> & {code: FailoverErrorCode} {
	return err instanceof FailoverError;
}

/** @internal */
export function throwNoMajority(predicate: string, count: number, majority: number): never {
	throw new FailoverError(`${count} of the group's servers ${predicate}, ${majority} are needed`, {props: {code: FailoverErrorCode.NoMajority}});
}

/** @internal */
export function throwTermPassed(term: number, seen: number): never {
	throw new FailoverError(`term ${term} was passed: a server has promised ${seen}`, {props: {code: FailoverErrorCode.TermPassed}});
}

/** @internal */
export function throwPaused(term: number): never {
	throw new FailoverError(`the promoter of term ${term} was paused and stops`, {props: {code: FailoverErrorCode.TermPassed}});
}

/** @internal */
export function throwWitnessPaused(address: string): never {
	throw new FailoverError(`this host was paused while it probed ${address}`, {props: {code: FailoverErrorCode.Failed}});
}

/** @internal */
export function throwContested(term: number, host: string): never {
	throw new FailoverError(`term ${term} is claimed by ${host}`, {props: {code: FailoverErrorCode.Contested}});
}

/** @internal */
export function throwPrimaryExists(endpoint: string): never {
	throw new FailoverError(`${endpoint} is primary after all`, {props: {code: FailoverErrorCode.PrimaryExists}});
}

/** @internal */
export function throwNotPromoted(endpoint: string, term: number, cause?: unknown): never {
	throw new FailoverError(`${endpoint} did not become primary at term ${term}`, {cause, props: {code: FailoverErrorCode.Failed}});
}

/** @internal */
export function throwSwitchRefused(reason: string, cause?: unknown): never {
	throw new FailoverError(reason, {cause, props: {code: FailoverErrorCode.SwitchRefused}});
}
