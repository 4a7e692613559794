/**
 * Limits how often load summaries are sent. After a change of a few per cent of the domain's slots,
 * the next summary is sent early, within a time that grows with the number of hosts, which bounds
 * the scheduler's traffic. Larger fleets have larger domains, whose load changes less in
 * proportion. Without such a change, a summary is sent at the regular period, so that the other
 * hosts know that the domain is reachable.
 */
import type { LoadSummary } from './messages';

/**
 * Change of free slots or of a team's queue, as a fraction of the slots, that is reported early.
 */
const CHANGE_FRACTION = 0.03;
const EARLY_MIN_MS = 50;
const EARLY_MS_PER_HOST = 6;

function earlyMsFor(hosts: number): number {
  return Math.max(EARLY_MIN_MS, EARLY_MS_PER_HOST * hosts);
}

function hasChanged(before: LoadSummary, after: LoadSummary): boolean {
  const threshold = Math.max(1, after.capacitySlots) * CHANGE_FRACTION;
  if (before.capacitySlots !== after.capacitySlots) return true;
  if (Math.abs(before.freeSlots - after.freeSlots) > threshold) return true;
  const queued = new Map(before.teams.map(({ team, queuedTasks }) => [team, queuedTasks]));
  after.teams.forEach(({ team, queuedTasks }) => {
    queued.set(team, Math.abs((queued.get(team) ?? 0) - queuedTasks));
  });
  return [...queued.values()].some((difference) => difference > threshold);
}

/** Decides when a scheduler sends its load summary. */
export class SummaryThrottle {
  readonly #periodMs: number;

  #last: { readonly summary: LoadSummary; readonly atMs: number } | null = null;

  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  /** False while not even a changed summary would be sent, so that none need be built. */
  mayBeDue(hosts: number, nowMs: number): boolean {
    return this.#last === null || nowMs - this.#last.atMs >= earlyMsFor(hosts);
  }

  /** True if the summary is to be sent now. Records it as sent in that case. */
  markSentIfDue(summary: LoadSummary, hosts: number, nowMs: number): boolean {
    const earlyMs = earlyMsFor(hosts);
    const periodMs = Math.max(this.#periodMs, earlyMs);
    const sinceMs = nowMs - (this.#last?.atMs ?? -Infinity);
    const due = sinceMs >= periodMs || (sinceMs >= earlyMs && this.#hasChanged(summary));
    if (due) this.#last = { summary, atMs: nowMs };
    return due;
  }

  #hasChanged(summary: LoadSummary): boolean {
    return this.#last === null || hasChanged(this.#last.summary, summary);
  }
}
