/**
 * Callers of a deployment: they submit jobs whose tasks echo whose they are, and keep what each call
 * got. A call ends with an answer, with a broken connection, or not at all.
 */
import { Agent, request } from 'undici';

/** What a job asks for. */
export interface CallerJob {
  /** Distinguishes the job from all others, whatever its key. */
  readonly number: number;
  readonly team: string;
  readonly kind: string;
  /** Left to the kind's default if undefined. */
  readonly deadlineMs: number | undefined;
  readonly runMs: readonly number[];
}

/** An answer as the caller reads it. */
export interface CallerAnswer {
  readonly statusCode: number;
  readonly body: {
    readonly type?: string;
    readonly reason?: string;
    readonly outcome?: string;
    readonly notRun?: boolean;
    readonly keys?: readonly string[];
    readonly results?: readonly { readonly id: string; readonly result: unknown }[];
    readonly tasks?: readonly { readonly id: string; readonly state: string }[];
  };
}

/** One submission of a job; `answer` is `broken` when the connection ended without an answer. */
export interface CallRecord {
  readonly key: string;
  readonly job: CallerJob;
  readonly host: string;
  readonly resubmission: boolean;
  readonly sentAtMs: number;
  /** Infinity until the call has ended. */
  endedAtMs: number;
  answer: CallerAnswer | 'broken' | null;
}

/** Payloads of a job's tasks; a worker returns the payload as the result. */
export function payloadsOf(job: CallerJob): readonly object[] {
  return job.runMs.map((runMs, task) => ({ runMs, job: job.number, task }));
}

/** Calls entry hosts at their caller addresses. */
export class DeploymentCaller {
  /** All submissions so far, in the order in which they were sent. */
  readonly calls: CallRecord[] = [];

  #closed = false;

  readonly #agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });

  get closed(): boolean {
    return this.#closed;
  }

  /** True if the host says that it takes jobs. */
  async ready(host: string): Promise<boolean> {
    const answer = await this.#send(host, 'GET', '/readyz');
    return answer !== 'broken' && answer.statusCode === 200;
  }

  /** Null if the host issues no key now. */
  async issueKey(host: string): Promise<string | null> {
    const answer = await this.#send(host, 'POST', '/v1/keys', { count: 1 });
    return answer === 'broken' ? null : (answer.body.keys?.[0] ?? null);
  }

  /** Submits a job and records the call; never rejects. */
  async submit(
    host: string,
    key: string,
    job: CallerJob,
    resubmission = false,
  ): Promise<CallRecord> {
    const call: CallRecord = {
      key,
      job,
      host,
      resubmission,
      sentAtMs: performance.now(),
      endedAtMs: Infinity,
      answer: null,
    };
    this.calls.push(call);
    const { team, kind, deadlineMs } = job;
    const tasks = payloadsOf(job).map((payload, index) => ({
      payload,
      declaredMs: job.runMs[index],
    }));
    const body = { team, kind, deadlineMs, tasks };
    call.answer = await this.#send(host, 'POST', '/v1/jobs', body, { 'idempotency-key': key });
    call.endedAtMs = performance.now();
    return call;
  }

  close(): Promise<void> {
    this.#closed = true;
    return this.#agent.destroy();
  }

  async #send(
    host: string,
    method: 'GET' | 'POST',
    path: string,
    body?: object,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<CallerAnswer | 'broken'> {
    try {
      const response = await request(`http://${host}${path}`, {
        method,
        dispatcher: this.#agent,
        headers: { 'content-type': 'application/json', ...headers },
        body: body === undefined ? null : JSON.stringify(body),
      });
      const text = await response.body.text();
      return {
        statusCode: response.statusCode,
        body: JSON.parse(text) as CallerAnswer['body'],
      };
    } catch {
      return 'broken';
    }
  }
}
