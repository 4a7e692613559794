/**
 * The workers of one domain and what is granted on each. Use is counted from grants, because the
 * workers' own reports lag; the reports only tell what others have running there.
 */
import type { HostListEntry } from '../workers/hostList';
import type { WorkerStatus } from '../workers/workers';
import { WorkerHealth, WorkerState, type HealthGuards } from './health';
import type { Resources } from './job';
import type { WorkerRef } from './messages';
import type { WorkerCondition } from './views';

/** No resources besides the slot. */
export const NO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/** One worker with its use. */
export interface WorkerEntry {
  readonly id: string;
  readonly health: WorkerHealth;
  address: string;
  leaving: boolean;
  status: WorkerStatus | null;
  usedSlots: number;
  used: Resources;
  /** Running on the worker by its own report, but not granted by this scheduler. */
  foreignSlots: number;
  readonly slotsByHost: Map<string, number>;
  /** Last sign of life, and whether a poll has been out for too long since. */
  seenAtMs: number;
  silent: boolean;
}

function add(left: Resources, right: Resources, sign: 1 | -1): Resources {
  return {
    cores: left.cores + sign * right.cores,
    memoryMb: left.memoryMb + sign * right.memoryMb,
    accelerators: left.accelerators + sign * right.accelerators,
  };
}

/** True if `needed` fits into what the worker has in total. */
export function fitsTotal(total: Resources, needed: Resources): boolean {
  return (
    needed.cores <= total.cores &&
    needed.memoryMb <= total.memoryMb &&
    needed.accelerators <= total.accelerators
  );
}

function usableSlots(worker: WorkerEntry): number {
  if (worker.leaving || worker.silent || !worker.status) return 0;
  return worker.health.limit(worker.status.slots);
}

/** Slots that can be granted now. */
export function freeSlots(worker: WorkerEntry): number {
  return Math.max(0, usableSlots(worker) - worker.usedSlots - worker.foreignSlots);
}

function preference(worker: WorkerEntry): number {
  const free = freeSlots(worker);
  const onTrial = worker.health.state === WorkerState.probation && worker.usedSlots === 0;
  return free > 0 && onTrial ? Infinity : free;
}

/** Accounts for one grant to a host. */
export function occupy(worker: WorkerEntry, host: string, resources: Resources): void {
  const entry = worker;
  entry.usedSlots += 1;
  entry.foreignSlots = Math.max(0, entry.foreignSlots - 1);
  entry.used = add(entry.used, resources, 1);
  entry.slotsByHost.set(host, (entry.slotsByHost.get(host) ?? 0) + 1);
}

/** Accounts for the end of one grant to a host. */
export function vacate(worker: WorkerEntry, host: string, resources: Resources): void {
  const entry = worker;
  entry.usedSlots -= 1;
  entry.used = add(entry.used, resources, -1);
  const left = (entry.slotsByHost.get(host) ?? 1) - 1;
  if (left > 0) entry.slotsByHost.set(host, left);
  else entry.slotsByHost.delete(host);
}

/** The worker as submitters are told of it. */
export function toRef(worker: WorkerEntry): WorkerRef {
  return {
    id: worker.id,
    address: worker.address,
    incarnation: worker.status?.incarnation ?? '',
  };
}

function admits(
  worker: WorkerEntry,
  host: string,
  resources: Resources,
  slotsPerHost: number,
): boolean {
  const { status } = worker;
  if (!status || (worker.slotsByHost.get(host) ?? 0) >= slotsPerHost) return false;
  return fitsTotal(add(status, worker.used, -1), resources);
}

/** The worker as operators see it. */
export function conditionOf(worker: WorkerEntry): WorkerCondition {
  const { id, address, health, status, usedSlots } = worker;
  const judged = worker.silent ? 'silent' : health.state;
  return {
    id,
    rack: status?.rack ?? '',
    address,
    state: worker.leaving ? 'leaving' : judged,
    slots: status?.slots ?? 0,
    usedSlots,
    freeSlots: freeSlots(worker),
    runTimeRatio: health.runTimeRatio,
  };
}

/** The workers known to a scheduler. */
export class WorkerTable {
  readonly #guards: HealthGuards;

  readonly #workers = new Map<string, WorkerEntry>();

  #list: readonly WorkerEntry[] = [];

  #cursor = 0;

  constructor(guards: HealthGuards) {
    this.#guards = guards;
  }

  get(id: string): WorkerEntry | undefined {
    return this.#workers.get(id);
  }

  all(): readonly WorkerEntry[] {
    return this.#list;
  }

  /**
   * Takes over the host list. A worker that has gone from it and runs nothing is forgotten. Workers of
   * the first list are taken as established; those that appear later start slowly.
   */
  setList(entries: readonly HostListEntry[]): void {
    const guards = { ...this.#guards, slowStart: this.#guards.slowStart && this.#list.length > 0 };
    const listed = new Set(entries.map((entry) => entry.id));
    entries.forEach((entry) => this.#put(entry, guards));
    this.#workers.forEach((worker, id) => {
      if (listed.has(id)) return;
      if (worker.usedSlots === 0) this.#workers.delete(id);
      else Object.assign(worker, { leaving: true });
    });
    this.#list = [...this.#workers.values()];
  }

  #put(entry: HostListEntry, guards: HealthGuards): void {
    const known = this.#workers.get(entry.id);
    if (known) {
      known.address = entry.address;
      known.leaving = entry.state === 'leaving';
      return;
    }
    this.#workers.set(entry.id, {
      id: entry.id,
      health: new WorkerHealth(guards),
      address: entry.address,
      leaving: entry.state === 'leaving',
      status: null,
      usedSlots: 0,
      used: NO_RESOURCES,
      foreignSlots: 0,
      slotsByHost: new Map(),
      seenAtMs: 0,
      silent: false,
    });
  }

  /** Slots of workers that take work. */
  capacity(): number {
    return this.#list.reduce((sum, worker) => sum + usableSlots(worker), 0);
  }

  totalFree(): number {
    return this.#list.reduce((sum, worker) => sum + freeSlots(worker), 0);
  }

  /** The largest total of each resource on a single worker. */
  largest(): Resources {
    return this.#list.reduce<Resources>((largest, { status }) => {
      if (!status) return largest;
      return {
        cores: Math.max(largest.cores, status.cores),
        memoryMb: Math.max(largest.memoryMb, status.memoryMb),
        accelerators: Math.max(largest.accelerators, status.accelerators),
      };
    }, NO_RESOURCES);
  }

  /** True if some worker could run a task of this size when idle. */
  canEverRun(resources: Resources): boolean {
    return this.#list.some(({ status }) => status !== null && fitsTotal(status, resources));
  }

  /**
   * The worker with the most free slots that has room for the resources and a connection left for the
   * host; the search starts behind the last choice, so that equal workers take turns. An idle worker
   * on probation goes first: its one task decides whether it can be used again.
   */
  choose(host: string, resources: Resources, slotsPerHost: number): WorkerEntry | null {
    const count = this.#list.length;
    let best: WorkerEntry | null = null;
    let bestFree = 0;
    let bestIndex = this.#cursor;
    for (let offset = 1; offset <= count; offset += 1) {
      const index = (this.#cursor + offset) % count;
      const worker = this.#list[index];
      const free = worker ? preference(worker) : 0;
      if (worker && free > bestFree && admits(worker, host, resources, slotsPerHost)) {
        best = worker;
        bestFree = free;
        bestIndex = index;
      }
    }
    this.#cursor = bestIndex;
    return best;
  }
}
