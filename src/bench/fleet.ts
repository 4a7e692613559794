/** Sizes and delays of a fleet, and the names of its hosts, workers and racks. */
import type { Resources } from '../core/job';
import type { HostListEntry } from '../workers/hostList';

/** Shape of a fleet. Hosts and workers are dealt to the domains in turn. */
export interface FleetShape {
  readonly domains: readonly string[];
  readonly hosts: number;
  readonly workers: number;
  readonly slots: number;
  readonly rackSize: number;
  /** Totals of one worker. */
  readonly resources: Resources;
  /** One-way delays. */
  readonly sameDomainMs: number;
  readonly betweenDomainsMs: number;
  readonly clientMs: number;
}

/** An entry host by name. */
export interface HostName {
  readonly id: string;
  readonly domain: string;
}

function domainOf(shape: FleetShape, index: number): string {
  const domain = shape.domains[index % shape.domains.length];
  if (domain === undefined) {
    throw new Error('a fleet needs a domain');
  }
  return domain;
}

export function hostNames(shape: FleetShape): readonly HostName[] {
  return Array.from({ length: shape.hosts }, (_, index) => ({
    id: `host-${index}`,
    domain: domainOf(shape, index),
  }));
}

/** Racks hold workers of one domain. */
export function workerEntries(shape: FleetShape): readonly HostListEntry[] {
  return Array.from({ length: shape.workers }, (_, index) => {
    const domain = domainOf(shape, index);
    const rack = Math.floor(index / shape.domains.length / shape.rackSize);
    return {
      id: `worker-${index}`,
      domain,
      rack: `${domain}-rack-${rack}`,
      address: `worker-${index}:80`,
      state: 'live',
    };
  });
}
