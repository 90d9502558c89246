import {isIPv4} from 'node:net';
import * as z from 'zod';

const MAX_PORT = 65_535;

/** The first octets of addresses that no single machine has: this network, multicast and broadcast. */
const isUnusableOctet = (octet: number) => octet === 0 || octet >= 224;

/** Returns whether a text is `ip:port` of a machine that can be connected to. Anything else makes the connection fail with an error that names no peer, or look up a name. */
export function isNetworkAddress(text: string): boolean {
	const colon = text.lastIndexOf(':');
	const [ip, port] = [text.slice(0, Math.max(0, colon)), text.slice(colon + 1)];
	return isIPv4(ip) && !isUnusableOctet(Number.parseInt(ip, 10)) && isPort(port);
}

/** Returns whether a text is a port that can be connected to. */
export function isPort(text: string): boolean {
	return /^\d{1,5}$/v.test(text) && Number(text) > 0 && Number(text) <= MAX_PORT;
}

/** Validates `ip:port`. */
export const networkAddressSchema = z.string().refine(isNetworkAddress, 'must be ip:port');
