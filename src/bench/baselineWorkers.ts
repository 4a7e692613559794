/** The workers of the baseline: any live worker of the host's domain, at random. */
import type { RandomSource } from '../core/clock';
import type { CoreAction } from '../core/events';
import type { WorkerRef } from '../core/messages';
import type { HostListEntry } from '../workers/hostList';
import type { WorkerStatus } from '../workers/workers';

interface Target {
  readonly entry: HostListEntry;
  incarnation: string | null;
  slots: number;
  /** Starts of this host that are out. */
  outstanding: number;
  /** No start before this time, after a refusal. */
  notBeforeMs: number;
  polledAtMs: number;
}

const REFUSAL_PAUSE_MS = 10;
const UNREACHABLE_PAUSE_MS = 1000;

/** Known workers and the starts that this host has out on each. */
export class BaselineWorkers {
  readonly #random: RandomSource;

  readonly #statusPeriodMs: number;

  #targets = new Map<string, Target>();

  constructor(random: RandomSource, statusPeriodMs: number) {
    this.#random = random;
    this.#statusPeriodMs = statusPeriodMs;
  }

  list(entries: readonly HostListEntry[]): void {
    this.#targets = new Map(
      entries.map((entry) => {
        const known = this.#targets.get(entry.id);
        return [
          entry.id,
          {
            entry,
            incarnation: known?.incarnation ?? null,
            slots: known?.slots ?? 0,
            outstanding: known?.outstanding ?? 0,
            notBeforeMs: known?.notBeforeMs ?? 0,
            polledAtMs: known?.polledAtMs ?? Number.NEGATIVE_INFINITY,
          },
        ];
      }),
    );
  }

  status(workerId: string, status: WorkerStatus | null): void {
    const target = this.#targets.get(workerId);
    if (target !== undefined) {
      target.incarnation = status?.incarnation ?? null;
      target.slots = status?.slots ?? 0;
    }
  }

  polls(nowMs: number): readonly CoreAction[] {
    const due = [...this.#targets.values()].filter(
      ({ polledAtMs }) => nowMs - polledAtMs >= this.#statusPeriodMs,
    );
    return due.map((target) => {
      const polled = target;
      polled.polledAtMs = nowMs;
      const { id, address } = target.entry;
      return { type: 'pollStatus', workerId: id, address };
    });
  }

  /** Takes a place on a random worker; null if none may be tried now. */
  take(nowMs: number): WorkerRef | null {
    const usable = [...this.#targets.values()].filter(
      ({ entry, incarnation, slots, outstanding, notBeforeMs }) =>
        entry.state === 'live' &&
        incarnation !== null &&
        outstanding < slots &&
        notBeforeMs <= nowMs,
    );
    const target = usable[Math.floor(this.#random.next() * usable.length)];
    if (target === undefined || target.incarnation === null) {
      return null;
    }
    target.outstanding += 1;
    const { id, address } = target.entry;
    return { id, address, incarnation: target.incarnation };
  }

  giveBack(worker: WorkerRef): void {
    const target = this.#targets.get(worker.id);
    if (target !== undefined) {
      target.outstanding = Math.max(0, target.outstanding - 1);
    }
  }

  refused(worker: WorkerRef, unreachable: boolean, nowMs: number): void {
    const target = this.#targets.get(worker.id);
    if (target !== undefined) {
      target.notBeforeMs = nowMs + (unreachable ? UNREACHABLE_PAUSE_MS : REFUSAL_PAUSE_MS);
    }
  }
}
