import ModernError from 'modern-errors';

/** Error of an exchange with a database server that got no answer. `sent` says whether the server may have executed it. */
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
export function throwNoAnswer(address: string, exchangeName: string, cause?: unknown): never {
	throw new EndpointError(`${address} gave no answer to ${exchangeName}`, {cause, props: {sent: true}});
}
