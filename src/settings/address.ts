/**
 * Network addresses made of an IP address and a port, in the form used in settings and messages:
 * `10.0.0.1:7000`, `[::1]:7000`.
 */
import { isIP } from 'node:net';

/** An IP address and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

const ADDRESS = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):([0-9]{1,5})$/;
const MAX_PORT = 65_535;

/** Parses an address. Returns null unless it is an IP address with a port from 1 to 65535. */
export function parseAddress(text: string): HostPort | null {
  const match = ADDRESS.exec(text);
  if (match === null) return null;
  const [, ipv6, ipv4, digits] = match;
  const port = Number(digits);
  if (port < 1 || port > MAX_PORT) return null;
  if (ipv6 !== undefined) return isIP(ipv6) === 6 ? { host: ipv6, port } : null;
  return ipv4 !== undefined && isIP(ipv4) === 4 ? { host: ipv4, port } : null;
}

/** Parses an address that is already validated. Throws a RangeError if it is malformed. */
export function splitAddress(address: string): HostPort {
  const parts = parseAddress(address);
  if (parts === null)
    throw new RangeError(`invalid address, expected an IP address and a port: ${address}`);
  return parts;
}
