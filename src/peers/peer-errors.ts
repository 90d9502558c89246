import ModernError from 'modern-errors';

/** Reason of a peer that has no handler for a kind of call, as hosts of an earlier version have none for later kinds. */
export const UNKNOWN_KIND_REASON = 'no handler for this kind of call';

/** A call to another proxy that got no response. `sent` is true if the peer may have acted on it, `isUnknownKind` if it does not know this kind of call. */
export const PeerError = ModernError.subclass('PeerError', {
	props: {sent: false, isUnknownKind: false},
});

/** Returns whether an error is a PeerError. */
export function isPeerError(err: unknown): err is InstanceType<typeof PeerError> & {sent: boolean; isUnknownKind: boolean} {
	return err instanceof PeerError;
}

/** @internal */
export function throwPeerUnreachable(address: string, cause?: unknown): never {
	throw new PeerError(`no link to ${address}`, {cause, props: {sent: false}});
}

/** @internal */
export function throwPeerSilent(address: string, kind: string, cause?: unknown): never {
	throw new PeerError(`${address} gave no answer to ${kind}`, {cause, props: {sent: true}});
}

/** @internal */
export function throwPeerBusy(address: string, bufferedBytes: number): never {
	throw new PeerError(`${bufferedBytes} bytes wait for ${address} already`, {props: {sent: false}});
}

/** @internal */
export function throwPeersStopped(): never {
	throw new PeerError('this host ends its links', {props: {sent: false}});
}

/** @internal */
export function throwFrameTooLarge(bytes: number, maxBytes: number): never {
	throw new PeerError(`a frame of ${bytes} bytes is over the limit of ${maxBytes}`, {props: {sent: false}});
}

/** @internal */
export function throwFrameMalformed(): never {
	throw new PeerError('a message holds something else than frames', {props: {sent: true}});
}

/** @internal */
export function throwNotAuthenticated(why: string): never {
	throw new PeerError(`not authenticated: ${why}`, {props: {sent: false}});
}

/** @internal Created, not thrown: it rejects a pending call. */
export function createCallError(address: string, kind: string, reason: string, sent: boolean) {
	return new PeerError(`${address} gave no answer to ${kind}: ${reason}`, {props: {sent, isUnknownKind: reason === UNKNOWN_KIND_REASON}});
}
