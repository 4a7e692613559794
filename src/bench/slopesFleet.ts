/** Members, workers and the configuration of a fleet of the design size, for the slope measurement. */
import type { Configuration, TeamPolicy } from '../configuration/policy';
import { MemberState, type Member } from '../core/messages';
import type { HostListEntry } from '../workers/hostList';
import type { WorkerStatus } from '../workers/workers';

export const TEAMS = 51;
export const SLOTS = 8;
export const DOMAINS = [
  'sofia-a',
  'plovdiv-b',
  'varna-c',
  'burgas-d',
  'ruse-e',
  'vidin-f',
] as const;
export const OWN_DOMAIN = DOMAINS[0];
const WORKERS_PER_RACK = 8;
const INCARNATION = '6f1d2c3b4a59';
const KINDS = [
  { name: 'unlock', urgency: 0, idempotent: true, deadlineMs: 60_000 },
  { name: 'restock', urgency: 8, idempotent: true, deadlineMs: 60_000 },
] as const;
export const KIND = KINDS[0].name;

export function teamName(index: number): string {
  return `franchise-${String(index % TEAMS).padStart(2, '0')}`;
}

/** All teams with equal shares and two kinds each. */
export function fleetConfiguration(): Configuration {
  const kinds = new Map(KINDS.map((kind) => [kind.name as string, kind]));
  const teams = Array.from({ length: TEAMS }, (_, index): [string, TeamPolicy] => {
    const name = teamName(index);
    return [name, { name, template: 'kiosk', share: 1 / TEAMS, quotaSlots: null, kinds }];
  });
  return { generation: 1, publicationId: 'first', teams: new Map(teams) };
}

/** The same configuration as operators write it. */
export function configurationText(): string {
  const kinds = KINDS.map(
    ({ name, urgency, idempotent, deadlineMs }) =>
      `[template kiosk kind ${name}]\nurgency = ${urgency}\nidempotent = ${idempotent}\ndeadlineMs = ${deadlineMs}\n`,
  );
  const share = Math.floor(10_000 / TEAMS) / 10_000;
  const teams = Array.from(
    { length: TEAMS },
    (_, index) => `[team ${teamName(index)}]\ntemplate = kiosk\nshare = ${share}\n`,
  );
  return ['[template kiosk]\n', ...kinds, ...teams].join('');
}

/** Name of a host; they are dealt to the domains in turn. */
export function hostName(index: number, domains: number): string {
  const domain = DOMAINS[index % domains] ?? OWN_DOMAIN;
  return `${domain}-${Math.floor(index / domains) + 1}`;
}

/** Entry hosts dealt to the first `domains` domains in turn. */
export function fleetMembers(hosts: number, domains: number): readonly Member[] {
  return Array.from({ length: hosts }, (_, index) => ({
    hostId: hostName(index, domains),
    incarnation: INCARNATION,
    domain: DOMAINS[index % domains] ?? OWN_DOMAIN,
    peerAddress: `10.20.30.${index + 1}:7100`,
    state: MemberState.alive,
    sequence: 1,
  }));
}

/** Workers of the own domain. */
export function fleetWorkers(count: number): readonly HostListEntry[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${OWN_DOMAIN}-w${index + 1}`,
    domain: OWN_DOMAIN,
    rack: `${OWN_DOMAIN}-r${Math.floor(index / WORKERS_PER_RACK) + 1}`,
    address: `10.40.${Math.floor(index / 250)}.${(index % 250) + 1}:8080`,
    state: 'live',
  }));
}

/** Status of an idle worker. */
export function workerStatus({ id, domain, rack }: HostListEntry): WorkerStatus {
  return {
    id,
    incarnation: INCARNATION,
    domain,
    rack,
    slots: SLOTS,
    cores: 60,
    memoryMb: 250_000,
    accelerators: 2,
    connections: 60,
    running: 0,
    reportAgeMs: 100,
  };
}

export { INCARNATION };
