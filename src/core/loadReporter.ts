/** Builds the load summaries of a domain for the submitters, and decides when to send them. */
import type { DomainSlots } from './domainSlots';
import type { LoadSummary, TeamLoad } from './messages';
import type { SlotQueues } from './slotQueues';
import { SummaryThrottle } from './summaryThrottle';

/** Load summaries of one scheduler. */
export class LoadReporter {
  readonly #domain: string;

  readonly #slots: DomainSlots;

  readonly #queues: SlotQueues;

  readonly #throttle: SummaryThrottle;

  constructor(domain: string, periodMs: number, slots: DomainSlots, queues: SlotQueues) {
    this.#domain = domain;
    this.#slots = slots;
    this.#queues = queues;
    this.#throttle = new SummaryThrottle(periodMs);
  }

  /** The summary to send to all hosts now; null if none is due. */
  summaryDue(hosts: number, nowMs: number): LoadSummary | null {
    if (!this.#throttle.mayBeDue(hosts, nowMs)) return null;
    const summary = this.#summary();
    return this.#throttle.markSentIfDue(summary, hosts, nowMs) ? summary : null;
  }

  #summary(): LoadSummary {
    const { workers } = this.#slots;
    const capacitySlots = workers.capacity();
    const free = Math.max(0, workers.totalFree() - this.#slots.reserve(capacitySlots));
    const full = this.#queues.tasks() > 0 || free === 0;
    return {
      type: 'loadSummary',
      domain: this.#domain,
      capacitySlots,
      freeSlots: full ? 0 : free,
      largest: workers.largest(),
      teams: this.#teamLoads(capacitySlots, full),
    };
  }

  #teamLoads(capacitySlots: number, full: boolean): readonly TeamLoad[] {
    const { shares } = this.#slots;
    return shares
      .teams()
      .map((team) => ({
        team,
        queuedTasks: this.#queues.tasksOfTeam(team),
        headroomSlots: shares.headroom(team, capacitySlots),
      }))
      .filter(({ queuedTasks, headroomSlots }) => queuedTasks > 0 || (full && headroomSlots > 0));
  }
}
