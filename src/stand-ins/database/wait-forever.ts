/** Returns a promise that never settles, for a packet that is lost. */
export async function waitForever(): Promise<never> {
	return new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}
