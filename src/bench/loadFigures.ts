/** Collects the figures of a load, for each kind and for all together. */
import type { PlannedJob } from './loadArrivals';
import { Distribution } from './loadDistribution';
import { LoadOutcome } from './loadTypes';
import type { LoadFigures } from './loadTypes';

/** How one job ended. */
export interface JobEnd {
  readonly outcome: LoadOutcome;
  /** Null for a complete job. */
  readonly reason: string | null;
  readonly resubmits: number;
  readonly responseMs: number;
  readonly idealMs: number;
}

/** Figures of one kind, or of all. */
export class FigureCollector {
  #jobs = 0;

  #tasks = 0;

  #completedTasks = 0;

  #resubmits = 0;

  readonly #outcomes = new Map<LoadOutcome, number>();

  readonly #reasons = new Map<string, number>();

  readonly #ratio = new Distribution();

  readonly #responseMs = new Distribution();

  get completedTasks(): number {
    return this.#completedTasks;
  }

  sent(job: PlannedJob): void {
    this.#jobs += 1;
    this.#tasks += job.runMs.length;
  }

  ended(job: PlannedJob, end: JobEnd): void {
    this.#resubmits += end.resubmits;
    this.#outcomes.set(end.outcome, (this.#outcomes.get(end.outcome) ?? 0) + 1);
    if (end.reason !== null) {
      this.#reasons.set(end.reason, (this.#reasons.get(end.reason) ?? 0) + 1);
    }
    if (end.outcome !== LoadOutcome.complete) return;
    this.#completedTasks += job.runMs.length;
    this.#responseMs.record(end.responseMs);
    this.#ratio.record(end.responseMs / end.idealMs);
  }

  figures(): LoadFigures {
    const outcomes = Object.values(LoadOutcome).map(
      (outcome) => [outcome, this.#outcomes.get(outcome) ?? 0] as const,
    );
    return {
      jobs: this.#jobs,
      tasks: this.#tasks,
      completedTasks: this.#completedTasks,
      resubmits: this.#resubmits,
      outcomes: Object.fromEntries(outcomes) as Record<LoadOutcome, number>,
      reasons: Object.fromEntries(this.#reasons),
      ratio: this.#ratio.percentiles(),
      responseMs: this.#responseMs.percentiles(),
    };
  }
}
