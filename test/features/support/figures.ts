/** What the expectations of scenarios are computed from, by the record of the run. */
import { recoveryMs, SlotTime, usefulStarts } from '../../../src/bench/slotTime';
import { runPool } from '../../../src/bench/pool';
import { idealMs } from '../../../src/bench/ratios';
import type { CallRecord, RunRecord } from '../../../src/bench';
import type { Fleet } from './fleet';

/** First submission of each job that is not part of a flood, of one team or of all. */
export function submissions(record: RunRecord, team: string | null): readonly CallRecord[] {
  const seen = new Set<number>();
  return record.calls.filter(({ type, jobId }) => {
    const { plan } = record.job(jobId);
    const first = type === 'submit' && !seen.has(jobId);
    if (first) seen.add(jobId);
    return first && !plan.flood && (team === null || plan.team === team);
  });
}

/** How a call ended. */
export function endOf({ answer, lost }: CallRecord): string {
  return answer?.outcome ?? (lost ? 'lost' : 'unanswered');
}

/** Fraction of the fleet's slots in use over a time. */
export function slotsInUse(fleet: Fleet, fromMs: number, untilMs: number): number {
  const used = new SlotTime(fleet.harness.record.starts, untilMs).between(fromMs, untilMs);
  return used / (fleet.slots * (untilMs - fromMs));
}

/** Slot-time of a team's complete jobs. */
export function usefulMs(record: RunRecord, team: string): number {
  return submissions(record, team)
    .filter((call) => endOf(call) === 'complete')
    .flatMap(({ jobId }) => record.job(jobId).plan.tasks)
    .reduce((sum, { runMs }) => sum + runMs, 0);
}

/** A percentile of response over ideal of a team's complete jobs; nearest rank. */
export function ratioAt(
  record: RunRecord,
  team: string | null,
  percentile: number,
  clientMs: number,
): number {
  const ratios = submissions(record, team)
    .filter((call) => endOf(call) === 'complete')
    .map(({ jobId, answeredAtMs, sentAtMs }) => {
      const tookMs = (answeredAtMs ?? Infinity) - sentAtMs;
      return tookMs / idealMs(record.job(jobId).plan, clientMs);
    })
    .sort((left, right) => left - right);
  if (ratios.length === 0) throw new Error('no job was complete');
  return ratios[Math.ceil((percentile / 100) * ratios.length) - 1] ?? NaN;
}

/** Refused starts, retries, unwanted answers and probes without effect, per task start. */
export function wastePerStart(record: RunRecord): number {
  const messages = [
    'startsRefused',
    'startsUnreachable',
    'taskRetries',
    'unwantedResults',
    'probesWithoutEffect',
    'pollsFailed',
  ] as const;
  const wasted = messages.reduce((sum, name) => sum + record.messages(name), 0);
  return wasted / Math.max(1, record.starts.length);
}

/** Requests that moved to another domain and grants given back, which the bench counts as well. */
export function movesPerStart(record: RunRecord): number {
  const moved = ['requests.moved', 'grants.unused'].reduce(
    (sum, name) => sum + (record.coreCounts.get(name) ?? 0),
    0,
  );
  return moved / Math.max(1, record.starts.length);
}

/** Refusals that were decided neither soon after arrival nor before half of the deadline. */
export function lateRefusals(record: RunRecord, limitMs: number): readonly string[] {
  return record.calls
    .filter(({ type, answer }) => type === 'submit' && answer?.outcome === 'refused')
    .flatMap(({ jobId, answer, arrivedAtMs, decidedAtMs }) => {
      const tookMs = (decidedAtMs ?? Infinity) - (arrivedAtMs ?? 0);
      const isLate = tookMs > limitMs && tookMs > record.job(jobId).plan.deadlineMs / 2;
      return isLate ? [`job ${jobId + 1} was refused (${answer?.reason}) after ${tookMs} ms`] : [];
    });
}

/** Starts that hosts sent to a worker after a time. */
export function startsSentTo(record: RunRecord, workerId: string, fromMs: number): number {
  return record.decisions.filter(
    ({ decision, fields, atMs }) =>
      decision === 'start' && fields.worker === workerId && atMs >= fromMs,
  ).length;
}

/** Longest time to recover from the losses of the run, against a pool without delays. */
export function slowestRecoveryMs(fleet: Fleet, untilMs: number): number {
  const { record } = fleet.harness;
  const losses = record.faults.filter(({ name }) => /^kill(Worker|Host)/.test(name));
  const changes = losses
    .filter(({ name }) => name.startsWith('killWorker'))
    .map(({ atMs }) => ({ atMs, slots: -fleet.size.slots }));
  const arrivals = record.calls
    .filter(({ type }) => type === 'submit')
    .map(({ sentAtMs, jobId }) => ({ atMs: sentAtMs, plan: record.job(jobId).plan }));
  const best = runPool(fleet.size.model, fleet.slots, 1, arrivals, changes, untilMs);
  const actual = new SlotTime(usefulStarts(record), untilMs);
  const ideal = new SlotTime(usefulStarts(best), untilMs);
  if (losses.length === 0) throw new Error('nothing was lost');
  return Math.max(...losses.map(({ atMs }) => recoveryMs(actual, ideal, atMs, untilMs)));
}
