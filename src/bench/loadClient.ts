/**
 * A caller of the hosts: submits a job, sends it again elsewhere under the same key when the
 * connection breaks, and checks that a complete answer has each result of this very job once.
 */
import type { HostReply, LoadHosts } from './loadHosts';
import type { LoadKeys } from './loadKeys';
import type { PlannedJob } from './loadArrivals';
import { LoadOutcome } from './loadTypes';

/** What a caller learns of its job. */
export interface LoadReply {
  readonly outcome: LoadOutcome;
  readonly reason: string | null;
  readonly resubmits: number;
}

interface Body {
  readonly outcome?: string;
  readonly type?: string;
  readonly reason?: string;
  readonly notRun?: boolean;
  readonly results?: readonly { readonly id: string; readonly result: unknown }[];
}

const OUTCOMES: Readonly<Record<string, LoadOutcome>> = {
  '/problems/job-failed': LoadOutcome.failed,
  '/problems/outcome-unknown': LoadOutcome.unknown,
  '/problems/key-expired': LoadOutcome.unknown,
};

function bodyOf(text: string): Body {
  try {
    return (JSON.parse(text) ?? {}) as Body;
  } catch {
    return {};
  }
}

/** Each task's payload is echoed as its result; `job` and `task` tell whose it is. */
function isWhole(job: PlannedJob, results: Body['results'] = []): boolean {
  if (!Array.isArray(results) || results.length !== job.runMs.length) return false;
  const tasks = new Set(
    results.map(({ id, result }) => {
      const echo = result as { readonly job?: unknown; readonly task?: unknown } | null;
      return echo?.job === job.number && String(echo.task) === id ? id : 'foreign';
    }),
  );
  return job.runMs.every((_runMs, index) => tasks.has(String(index)));
}

function outcomeOf(job: PlannedJob, { statusCode }: HostReply, body: Body): LoadOutcome {
  if (statusCode === 200) {
    return isWhole(job, body.results) ? LoadOutcome.complete : LoadOutcome.wrong;
  }
  if (body.notRun === true) return LoadOutcome.refused;
  return OUTCOMES[body.type ?? ''] ?? LoadOutcome.rejected;
}

function requestBody(job: PlannedJob): string {
  const { team, kind, deadlineMs } = job.kind;
  const tasks = job.runMs.map((runMs, task) => ({
    payload: { runMs, job: job.number, task },
    declaredMs: runMs,
  }));
  return JSON.stringify({ team, kind, deadlineMs, tasks });
}

/** Submits jobs; no method rejects. */
export class LoadClient {
  readonly #hosts: LoadHosts;

  readonly #keys: LoadKeys;

  readonly #answerMarginMs: number;

  readonly #resubmits: number;

  constructor(hosts: LoadHosts, keys: LoadKeys, answerMarginMs: number, resubmits: number) {
    this.#hosts = hosts;
    this.#keys = keys;
    this.#answerMarginMs = answerMarginMs;
    this.#resubmits = resubmits;
  }

  async submit(job: PlannedJob): Promise<LoadReply> {
    const key = job.kind.keyed ? await this.#keys.take() : null;
    if (job.kind.keyed && key === null) {
      return { outcome: LoadOutcome.broken, reason: 'no-key', resubmits: 0 };
    }
    return this.#send(job, key, 0, null);
  }

  async #send(
    job: PlannedJob,
    key: string | null,
    resubmits: number,
    last: string | null,
  ): Promise<LoadReply> {
    const host = this.#hosts.choose(last);
    const reply = await this.#hosts.send(host, {
      method: 'POST',
      path: '/v1/jobs',
      headers: key === null ? {} : { 'idempotency-key': key },
      body: requestBody(job),
      timeoutMs: job.kind.deadlineMs + this.#answerMarginMs,
    });
    if (reply === 'noAnswer') {
      return { outcome: LoadOutcome.abandoned, reason: 'no-answer', resubmits };
    }
    if (reply === 'broken') {
      return resubmits < this.#resubmits
        ? this.#send(job, key, resubmits + 1, host)
        : { outcome: LoadOutcome.broken, reason: 'connection', resubmits };
    }
    const body = bodyOf(reply.text);
    const outcome = outcomeOf(job, reply, body);
    const reason = body.reason ?? body.type ?? `status ${reply.statusCode}`;
    return { outcome, reason: outcome === LoadOutcome.complete ? null : reason, resubmits };
  }
}
