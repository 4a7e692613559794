/** Gauges of the state of a host, reported once a second. */
import type { HostView } from '../core';
import type { Metrics } from '../observe';

/**
 * Reports the submitter's gauges and, only while the host schedules its domain, those of the
 * queues.
 */
export function reportGauges({ submitter, scheduler }: HostView, metrics: Metrics): void {
  metrics.gauge('submissions.pending', submitter.pending);
  metrics.gauge('submissions.kept', submitter.submissions);
  metrics.gauge('attempts.in_progress', submitter.attemptsInProgress);
  if (!scheduler.active) return;
  scheduler.queues.forEach(({ team, kind, queuedTasks, usedSlots }) => {
    metrics.gauge('queue.tasks', queuedTasks, { team, kind });
    metrics.gauge('slots.used', usedSlots, { team, kind });
  });
  const activeWorkers = scheduler.workers.filter(({ state }) => state === 'active').length;
  metrics.gauge('workers.known', scheduler.workers.length);
  metrics.gauge('workers.active', activeWorkers);
}
