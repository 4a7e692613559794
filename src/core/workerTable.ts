/**
 * The workers of one domain and the slots and resources granted on each. Usage is counted from
 * grants, because the workers' status reports lag behind. The reports are used only to detect tasks
 * that this scheduler did not grant.
 */
import type { HostListEntry } from '../workers/hostList';
import type { WorkerStatus } from '../workers/workers';
import { WorkerHealth, WorkerState, type HealthGuards } from './health';
import type { Resources } from './job';
import type { WorkerRef } from './messages';
import type { WorkerCondition } from './views';

/** The resources of a task that needs only a slot. */
export const NO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 };

/** One worker and its usage. */
export interface WorkerEntry {
  readonly id: string;
  readonly health: WorkerHealth;
  address: string;
  leaving: boolean;
  status: WorkerStatus | null;
  usedSlots: number;
  used: Resources;
  /** Slots in use according to the worker's status report that this scheduler did not grant. */
  untrackedSlots: number;
  readonly slotsByHost: Map<string, number>;
  /** When the worker last answered a poll or returned a result. */
  lastContactAtMs: number;
  /** True while a poll has been unanswered for too long. */
  silent: boolean;
}

function addResources(left: Resources, right: Resources, sign: 1 | -1): Resources {
  return {
    cores: left.cores + sign * right.cores,
    memoryMb: left.memoryMb + sign * right.memoryMb,
    accelerators: left.accelerators + sign * right.accelerators,
  };
}

/** True if the resources `needed` do not exceed `total`. */
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
  return Math.max(0, usableSlots(worker) - worker.usedSlots - worker.untrackedSlots);
}

function placementScore(worker: WorkerEntry): number {
  const free = freeSlots(worker);
  const needsProbationTask =
    worker.health.state === WorkerState.probation && worker.usedSlots === 0;
  return free > 0 && needsProbationTask ? Infinity : free;
}

/** Records one grant to a host. */
export function allocateSlot(worker: WorkerEntry, host: string, resources: Resources): void {
  const entry = worker;
  entry.usedSlots += 1;
  entry.untrackedSlots = Math.max(0, entry.untrackedSlots - 1);
  entry.used = addResources(entry.used, resources, 1);
  entry.slotsByHost.set(host, (entry.slotsByHost.get(host) ?? 0) + 1);
}

/** Records the end of one grant to a host. */
export function releaseSlot(worker: WorkerEntry, host: string, resources: Resources): void {
  const entry = worker;
  entry.usedSlots -= 1;
  entry.used = addResources(entry.used, resources, -1);
  const left = (entry.slotsByHost.get(host) ?? 1) - 1;
  if (left > 0) entry.slotsByHost.set(host, left);
  else entry.slotsByHost.delete(host);
}

/** Reference to the worker as sent to submitters. */
export function toRef(worker: WorkerEntry): WorkerRef {
  return {
    id: worker.id,
    address: worker.address,
    incarnation: worker.status?.incarnation ?? '',
  };
}

function hasCapacityFor(
  worker: WorkerEntry,
  host: string,
  resources: Resources,
  slotsPerHost: number,
): boolean {
  const { status } = worker;
  if (!status || (worker.slotsByHost.get(host) ?? 0) >= slotsPerHost) return false;
  return fitsTotal(addResources(status, worker.used, -1), resources);
}

/** The worker as shown to operators. */
export function conditionOf(worker: WorkerEntry): WorkerCondition {
  const { id, address, health, status, usedSlots } = worker;
  const availability = worker.silent ? 'silent' : health.state;
  return {
    id,
    rack: status?.rack ?? '',
    address,
    state: worker.leaving ? 'leaving' : availability,
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
   * Applies a host list. Workers that are no longer listed are removed, or marked as leaving while
   * they have grants. Workers in the first list get full load at once; workers added later begin in
   * slow start.
   */
  setList(entries: readonly HostListEntry[]): void {
    const guards = { ...this.#guards, slowStart: this.#guards.slowStart && this.#list.length > 0 };
    const listed = new Set(entries.map((entry) => entry.id));
    entries.forEach((entry) => this.#upsert(entry, guards));
    this.#workers.forEach((worker, id) => {
      if (listed.has(id)) return;
      if (worker.usedSlots === 0) this.#workers.delete(id);
      else Object.assign(worker, { leaving: true });
    });
    this.#list = [...this.#workers.values()];
  }

  #upsert(entry: HostListEntry, guards: HealthGuards): void {
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
      untrackedSlots: 0,
      slotsByHost: new Map(),
      lastContactAtMs: 0,
      silent: false,
    });
  }

  /** Slots of all workers that accept tasks. */
  capacity(): number {
    return this.#list.reduce((sum, worker) => sum + usableSlots(worker), 0);
  }

  totalFree(): number {
    return this.#list.reduce((sum, worker) => sum + freeSlots(worker), 0);
  }

  /** The largest amount of each resource that a single worker has in total. */
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

  /** True if some worker has these resources in total. */
  canEverRun(resources: Resources): boolean {
    return this.#list.some(({ status }) => status !== null && fitsTotal(status, resources));
  }

  /**
   * The worker with the most free slots that has room for the resources and a connection left for
   * the host. The search starts after the last choice, so that equal workers are used in turn. An
   * idle worker on probation is preferred, because the outcome of its one task decides whether it
   * is used again.
   */
  choose(host: string, resources: Resources, slotsPerHost: number): WorkerEntry | null {
    const count = this.#list.length;
    let best: WorkerEntry | null = null;
    let bestFree = 0;
    let bestIndex = this.#cursor;
    for (let offset = 1; offset <= count; offset += 1) {
      const index = (this.#cursor + offset) % count;
      const worker = this.#list[index];
      const free = worker ? placementScore(worker) : 0;
      if (worker && free > bestFree && hasCapacityFor(worker, host, resources, slotsPerHost)) {
        best = worker;
        bestFree = free;
        bestIndex = index;
      }
    }
    this.#cursor = bestIndex;
    return best;
  }
}
