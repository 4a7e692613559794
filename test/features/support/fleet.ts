/**
 * A fleet of real cores in virtual time. It keeps what was done to it, so that a scenario can be run
 * again without its floods, as the reference that the targets are relative to.
 */
import {
  CHADAR,
  Harness,
  SeededRandom,
  configurationOf,
  poisson,
  type CoreContext,
  type JobPlan,
  type KindModel,
  type WorkloadModel,
} from '../../../src/bench';
import { HostCore } from '../../../src/core';
import { DEFAULT_OPTIONS } from '../../../src/core/options';
import { schedulerOf } from '../../../src/membership';
import { DOMAINS, placeOf } from './names';

/** Size of a fleet. */
export interface FleetSize {
  readonly domains: number;
  readonly hostsPerDomain: number;
  readonly workersPerDomain: number;
  readonly slots: number;
  readonly model: WorkloadModel;
}

/** Something that is done to a fleet. */
export type Act = (fleet: Fleet) => void;

interface Deed {
  readonly act: Act;
  readonly flood: boolean;
}

const SEED = 20_261_204;
const START_MS = 1000;
const STEP_MS = 100;
/** Longer than the longest deadline of the workload, so that each call is answered. */
const SETTLE_LIMIT_MS = 45_000;

function createCore(context: CoreContext): HostCore {
  return new HostCore({ ...context, secret: context.incarnation, chooseScheduler: schedulerOf });
}

/** One fleet. */
export class Fleet {
  readonly size: FleetSize;

  readonly harness: Harness;

  readonly domains: readonly string[];

  readonly #deeds: Deed[] = [];

  constructor(size: FleetSize) {
    this.size = size;
    this.domains = DOMAINS.slice(0, size.domains);
    this.harness = new Harness({
      seed: SEED,
      shape: {
        domains: this.domains,
        hosts: size.domains * size.hostsPerDomain,
        workers: size.domains * size.workersPerDomain,
        slots: size.slots,
        rackSize: 8,
        resources: { cores: 60, memoryMb: 250_000, accelerators: 0 },
        sameDomainMs: 0.25,
        betweenDomainsMs: size.model.betweenDomainsMs,
        clientMs: 1,
      },
      createCore,
      coreOptions: DEFAULT_OPTIONS,
      configuration: configurationOf(size.model),
      traceDecisions: true,
    });
    this.harness.runUntil(START_MS);
  }

  get slots(): number {
    return this.harness.workers.size * this.size.slots;
  }

  get nowMs(): number {
    return this.harness.nowMs;
  }

  /** Does something now and keeps it; `flood` marks what the reference run leaves out. */
  do(act: Act, flood = false): void {
    this.#deeds.push({ act, flood });
    act(this);
  }

  /** The same scenario without its floods. */
  withoutFloods(): Fleet {
    const calm = new Fleet(this.size);
    this.#deeds.filter(({ flood }) => !flood).forEach(({ act }) => calm.do(act));
    return calm;
  }

  hostId(ordinal: number, domain: string): string {
    return `host-${placeOf(this.domains, ordinal, domain)}`;
  }

  workerId(ordinal: number, domain: string): string {
    return `worker-${placeOf(this.domains, ordinal, domain)}`;
  }

  workersOf(domain: string): readonly string[] {
    return [...this.harness.workers.values()]
      .filter(({ entry }) => entry.domain === domain)
      .map(({ entry }) => entry.id);
  }

  kindOf(team: string): KindModel {
    const kind = this.size.model.kinds.find((each) => each.team === team);
    if (kind === undefined) throw new Error(`no team ${team}`);
    return kind;
  }

  pass(ms: number): void {
    this.harness.runUntil(this.nowMs + ms);
  }

  /** Submits jobs now, or spread evenly over a time. */
  submit(plan: JobPlan, count: number, overMs: number): void {
    Array.from({ length: count }).forEach((_, index) => {
      const atMs = this.nowMs + (overMs * index) / count;
      this.harness.timeline.at(atMs, () => this.harness.submit(plan));
    });
    if (overMs === 0) this.pass(0);
  }

  /** Poisson arrivals of a team's work at a fraction of the fleet's capacity. */
  load(team: string, load: number, durationMs: number, flood: boolean): void {
    const fromMs = this.nowMs;
    const random = new SeededRandom(SEED, `${team} ${flood} ${fromMs}`);
    const span = { fromMs, untilMs: fromMs + durationMs, load };
    poisson(this.kindOf(team), this.slots, span, random).forEach(({ atMs, plan }) => {
      this.harness.timeline.at(atMs, () => this.harness.submit({ ...plan, flood }));
    });
  }

  /** Lets time pass until every call has been answered or its connection has broken. */
  settle(): void {
    const endMs = this.nowMs + SETTLE_LIMIT_MS;
    this.pass(STEP_MS);
    while (this.nowMs < endMs && !this.#settled()) this.pass(STEP_MS);
  }

  /** Ends all faults of paths and processes, and waits for every answer. */
  recover(): void {
    this.domains.forEach((domain) => this.harness.healDomain(domain));
    this.harness.hosts.forEach(({ id }) => this.harness.resumeHost(id));
    this.settle();
  }

  /** Drains a host and stops its process when no call depends on it any more. */
  shutDown(hostId: string): void {
    this.harness.drainHost(hostId);
    const endMs = this.nowMs + SETTLE_LIMIT_MS;
    const isBusy = () =>
      this.harness.host(hostId).core.pending() > 0 ||
      this.harness.record.calls.some(
        ({ entryId, ownerId, answer, lost }) =>
          answer === null && !lost && (entryId === hostId || ownerId === hostId),
      );
    this.pass(STEP_MS);
    while (this.nowMs < endMs && isBusy()) this.pass(STEP_MS);
    this.harness.killHost(hostId);
  }

  #settled(): boolean {
    return this.harness.record.calls.every(({ answer, lost }) => answer !== null || lost);
  }
}

/** The workload that scenarios use unless they define teams. */
export const DEFAULT_MODEL: WorkloadModel = CHADAR;
