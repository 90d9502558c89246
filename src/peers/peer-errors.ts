import ModernError from 'modern-errors';

/** A call to another proxy that brought no answer. `sent` tells whether the peer may have acted on it. */
export const PeerError = ModernError.subclass('PeerError', {
	props: {sent: false},
});

/** Narrows to a PeerError. */
export function isPeerError(err: unknown): err is InstanceType<typeof PeerError> & {sent: boolean} {
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
