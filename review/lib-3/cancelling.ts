/** What happens at the workers after the cancelling of the only job was acknowledged. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Deployment } from './deployment';

/** Answers to DELETE that acknowledge it. */
export const ACKNOWLEDGED: ReadonlySet<number> = new Set([200, 202, 204, 410]);

/** Bounds `cancel_ms` and `stopTimeoutMs` of the small sites. */
const CANCEL_MS = 3000;
const STOP_TIMEOUT_MS = 50;
const POLL_MS = 10;

/** Times, since the acknowledgement, of the last start and of the last moment with a run. */
export interface Observation {
  readonly lastStartMs: number;
  readonly lastRunMs: number;
}

/** Watches the workers for some time after the acknowledgement. */
export async function observe(deployment: Deployment, durationMs: number): Promise<Observation> {
  const fromMs = performance.now();
  const starts: number[] = [];
  let lastRunMs = 0;
  while (performance.now() - fromMs < durationMs) {
    const runs = deployment.workers.flatMap((worker) => [...worker.runs.values()]);
    if (runs.length > 0) lastRunMs = performance.now() - fromMs;
    starts.push(...runs.map(({ startedAtMs }) => startedAtMs - fromMs));
    // eslint-disable-next-line no-await-in-loop -- polls
    await sleep(POLL_MS);
  }
  return { lastStartMs: Math.round(Math.max(0, ...starts)), lastRunMs: Math.round(lastRunMs) };
}

/** True if a task started, or ran on, too late. */
export function breaksUnasked({ lastStartMs, lastRunMs }: Observation): boolean {
  return lastStartMs > CANCEL_MS || lastRunMs > CANCEL_MS + STOP_TIMEOUT_MS;
}
