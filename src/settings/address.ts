/** Network addresses by IP number, as settings and messages carry them: `10.0.0.1:7000`, `[::1]:7000`. */
import { isIP } from 'node:net';

/** The two parts of an address. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

const ADDRESS = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):([0-9]{1,5})$/;
const LARGEST_PORT = 65_535;

/** The parts of an address; null unless it is an IP number with a port from 1 to 65535. */
export function parseAddress(text: string): HostPort | null {
  const match = ADDRESS.exec(text);
  if (match === null) return null;
  const [, ipv6, ipv4, digits] = match;
  const port = Number(digits);
  if (port < 1 || port > LARGEST_PORT) return null;
  if (ipv6 !== undefined) return isIP(ipv6) === 6 ? { host: ipv6, port } : null;
  return ipv4 !== undefined && isIP(ipv4) === 4 ? { host: ipv4, port } : null;
}

/** The parts of an address that has been checked before. Throws a RangeError otherwise. */
export function splitAddress(address: string): HostPort {
  const parts = parseAddress(address);
  if (parts === null) throw new RangeError(`not an address by IP number with a port: ${address}`);
  return parts;
}
