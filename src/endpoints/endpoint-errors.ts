import ModernError from 'modern-errors';

/** An exchange with a database server that brought no answer. `sent` tells whether the server may have acted on it. */
export const EndpointError = ModernError.subclass('EndpointError', {
	props: {sent: false},
});

/** Narrows to an EndpointError. */
export function isEndpointError(err: unknown): err is InstanceType<typeof EndpointError> & {sent: boolean} {
	return err instanceof EndpointError;
}

/** @internal */
export function throwNotConnected(address: string, cause: unknown): never {
	throw new EndpointError(`no connection to ${address}`, {cause, props: {sent: false}});
}

/** @internal */
export function throwNoAnswer(address: string, what: string, cause?: unknown): never {
	throw new EndpointError(`${address} gave no answer to ${what}`, {cause, props: {sent: true}});
}
