/** Attempts in progress and their leases. */
import type { Claim, WorkerRef } from './messages';
import type { Submission } from './submission';

const RENEW_FRACTION = 0.5;

/** A start that was sent to a worker. */
export interface Attempt {
  readonly attemptId: string;
  readonly submission: Submission;
  readonly index: number;
  readonly worker: WorkerRef;
  readonly grantId: number;
  readonly domain: string;
  leaseUntilMs: number;
  /** When the start became unclear; null while it is not. */
  unclearSinceMs: number | null;
  /** When an unclear start is to be revoked again; null while a revocation is unanswered. */
  revokeAtMs: number | null;
}

/** Leases on one worker that are renewed in one call. */
export interface Renewal {
  readonly worker: WorkerRef;
  readonly attemptIds: string[];
}

/** Attempts of a submitter. */
export class AttemptTable {
  readonly #leaseMs: number;

  readonly #byId = new Map<string, Attempt>();

  /**
   * Renewals in order of their due times, which is the order of insertion: all leases are equally
   * long.
   */
  #renewals: { readonly attemptId: string; readonly dueMs: number }[] = [];

  /** Index of the first renewal that has not been taken. */
  #renewalsHead = 0;

  readonly #unclear = new Set<Attempt>();

  constructor(leaseMs: number) {
    this.#leaseMs = leaseMs;
  }

  get size(): number {
    return this.#byId.size;
  }

  get(attemptId: string): Attempt | undefined {
    return this.#byId.get(attemptId);
  }

  add(attempt: Attempt, nowMs: number): void {
    this.#byId.set(attempt.attemptId, attempt);
    attempt.submission.attemptIds.add(attempt.attemptId);
    this.#scheduleRenewal(attempt.attemptId, nowMs);
  }

  remove(attempt: Attempt): void {
    this.#byId.delete(attempt.attemptId);
    this.#unclear.delete(attempt);
    attempt.submission.attemptIds.delete(attempt.attemptId);
  }

  /** Marks the start as unclear; it is to be revoked again at `revokeAtMs`. */
  markUnclear(attempt: Attempt, nowMs: number, revokeAtMs: number | null): void {
    const marked = attempt;
    marked.unclearSinceMs ??= nowMs;
    marked.revokeAtMs = revokeAtMs;
    this.#unclear.add(marked);
  }

  /** Marks the start as clear, because the worker said that the task runs. */
  markRunning(attempt: Attempt): void {
    const marked = attempt;
    marked.unclearSinceMs = null;
    marked.revokeAtMs = null;
    this.#unclear.delete(marked);
  }

  unclear(): readonly Attempt[] {
    return [...this.#unclear];
  }

  /** Removes and returns the due renewals, by worker. Leases that have lapsed are not renewed. */
  takeRenewals(nowMs: number): readonly Renewal[] {
    const byWorker = new Map<string, Renewal>();
    let head = this.#renewals[this.#renewalsHead];
    while (head && head.dueMs <= nowMs) {
      this.#renewalsHead += 1;
      this.#renew(head.attemptId, byWorker, nowMs);
      head = this.#renewals[this.#renewalsHead];
    }
    if (this.#renewalsHead > 1024 && this.#renewalsHead * 2 > this.#renewals.length) {
      this.#renewals = this.#renewals.slice(this.#renewalsHead);
      this.#renewalsHead = 0;
    }
    return [...byWorker.values()];
  }

  /** Grants in use in a domain, as claimed from its scheduler. */
  claims(domain: string): readonly Claim[] {
    return [...this.#byId.values()]
      .filter((attempt) => attempt.domain === domain)
      .map(({ grantId, worker, submission: { job } }) => ({
        grantId,
        workerId: worker.id,
        team: job.team,
        kind: job.kind,
        resources: job.resources,
      }));
  }

  #renew(attemptId: string, byWorker: Map<string, Renewal>, nowMs: number): void {
    const attempt = this.#byId.get(attemptId);
    if (!attempt || attempt.submission.answer || attempt.leaseUntilMs <= nowMs) return;
    attempt.leaseUntilMs = nowMs + this.#leaseMs;
    const renewal = byWorker.get(attempt.worker.id);
    if (renewal) renewal.attemptIds.push(attemptId);
    else byWorker.set(attempt.worker.id, { worker: attempt.worker, attemptIds: [attemptId] });
    this.#scheduleRenewal(attemptId, nowMs);
  }

  #scheduleRenewal(attemptId: string, nowMs: number): void {
    this.#renewals.push({ attemptId, dueMs: nowMs + this.#leaseMs * RENEW_FRACTION });
  }
}
