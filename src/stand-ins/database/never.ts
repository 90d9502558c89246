/** Resolves never: what became of a packet that nobody will see again. */
export async function never(): Promise<never> {
	return new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}
