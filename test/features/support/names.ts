/** Names of domains, hosts and workers in scenarios: "host 2 of domain north" counts from 1. */

/** Domains in the order in which a scenario gets them. */
export const DOMAINS = ['north', 'south', 'east', 'west', 'centre', 'coast'] as const;

/** The harness deals hosts and workers to the domains in turn. */
export function placeOf(domains: readonly string[], ordinal: number, domain: string): number {
  const index = domains.indexOf(domain);
  if (index < 0) throw new Error(`no domain ${domain}; there are ${domains.join(', ')}`);
  if (ordinal < 1) throw new Error('hosts and workers count from 1');
  return (ordinal - 1) * domains.length + index;
}

/** Milliseconds of a number and the unit that follows it. */
export function toMs(value: string | number, unit: string): number {
  return Number(value) * (unit === 'ms' ? 1 : 1000);
}
