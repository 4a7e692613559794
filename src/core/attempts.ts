/** Attempts whose end has not been seen, with the leases under which they run. */
import type { Claim, WorkerRef } from './messages';
import type { Submission } from './submission';

const RENEW_FRACTION = 0.5;

/** One start that was sent. */
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
  /** When the worker is asked again about an unclear start; null if a question is out. */
  askAtMs: number | null;
}

/** Leases of one worker that are to be renewed together. */
export interface Renewal {
  readonly worker: WorkerRef;
  readonly attemptIds: string[];
}

/** Attempts of a submitter. */
export class AttemptTable {
  readonly #leaseMs: number;

  readonly #byId = new Map<string, Attempt>();

  /** Attempts in the order in which their renewals fall due; all leases are equally long. */
  #renewals: { readonly attemptId: string; readonly dueMs: number }[] = [];

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

  /** The worker has to be asked about this attempt at `askAtMs`. */
  markUnclear(attempt: Attempt, nowMs: number, askAtMs: number | null): void {
    const marked = attempt;
    marked.unclearSinceMs ??= nowMs;
    marked.askAtMs = askAtMs;
    this.#unclear.add(marked);
  }

  /** The worker said that the attempt runs. */
  markClear(attempt: Attempt): void {
    const marked = attempt;
    marked.unclearSinceMs = null;
    marked.askAtMs = null;
    this.#unclear.delete(marked);
  }

  unclear(): readonly Attempt[] {
    return [...this.#unclear];
  }

  /** Takes the renewals that are due, by worker. Attempts whose lease has lapsed are left out. */
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

  /** Grants in use in a domain, for its scheduler. */
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
