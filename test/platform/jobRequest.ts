/** Job submissions to the queue of the test configuration. */

/** Contents of a submission. */
export interface JobRequestOptions {
  readonly id: string;
  /** Run time of its tasks in milliseconds, or `fail`. */
  readonly payload: string;
  readonly tasks: number;
  readonly deadlineMs: number;
  /** Additional or overriding members of the body. */
  readonly extra?: object;
}

const CPU_MILLIS = 27_000;

/** Returns the submission as a request for `undici`. */
export function jobRequest({ id, payload, tasks, deadlineMs, extra = {} }: JobRequestOptions): {
  method: 'POST';
  path: string;
  headers: Record<string, string>;
  body: string;
} {
  const estimateMs = Number(payload) || 5;
  return {
    method: 'POST',
    path: `/jobs/${id}`,
    headers: {
      'content-type': 'application/json',
      host: 'desk.example',
      'request-deadline': String(deadlineMs),
    },
    body: JSON.stringify({
      spec: payload,
      bestEffort: true,
      steps: [{ count: tasks, cpu: CPU_MILLIS, memMb: 64, estimateMs }],
      ...extra,
    }),
  };
}

/** Returns the job id for a number. */
export function jobIdOf(number: number): string {
  return number.toString(16).padStart(16, '0');
}
