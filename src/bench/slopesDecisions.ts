/** CPU of the decision code: per task start at the scheduler and the submitter, per tick and claim. */
import type { SlotMessage } from '../core/messages';
import { DOMAINS, INCARNATION, KIND, SLOTS, TEAMS, teamName } from './slopesFleet';
import { cpuPerOperation } from './slopesMeter';
import { rowOf, type SlopeRow } from './slopesRow';
import { SchedulerDrive } from './slopesScheduler';
import { SubmitterDrive } from './slopesSubmitter';
import { SUMMARIES } from './slopesSummary';

const WORKERS = [30, 165, 330, 990];
const HOSTS = [3, 9, 18, 36];
const QUEUED = [1000, 10_000, 100_000];
const STARTS = 10_000;
const JOB_TASKS = 4;
const BUSY_FRACTION = 0.7;
const TICK_MS = 10;
const GROUP = 'CPU, decision code';
const US = 'µs';

/** Requests and releases in balance, with 70 % of the slots in use and nothing waiting. */
function schedulerPerStart(workers: number, hosts: number): readonly number[] {
  const drive = new SchedulerDrive(workers, hosts);
  const target = Math.floor(workers * SLOTS * BUSY_FRACTION);
  while (drive.held < target) drive.request(1);
  return cpuPerOperation(STARTS, (count) => {
    for (let left = count; left > 0; left -= JOB_TASKS) {
      drive.request(JOB_TASKS);
      drive.release(JOB_TASKS);
    }
  });
}

/** The same with all slots in use and a constant number of tasks waiting. */
function schedulerWithQueue(workers: number, hosts: number, queued: number): readonly number[] {
  const drive = new SchedulerDrive(workers, hosts);
  const slots = workers * SLOTS;
  for (let left = slots + queued; left > 0; left -= JOB_TASKS) drive.request(JOB_TASKS, true);
  return cpuPerOperation(STARTS, (count) => {
    for (let left = count; left > 0; left -= JOB_TASKS) {
      drive.release(JOB_TASKS);
      drive.request(JOB_TASKS, true);
    }
  });
}

/** Ticks, the load summaries among them; 70 % of the slots are in use. */
function schedulerPerTick(workers: number, hosts: number): readonly number[] {
  const drive = new SchedulerDrive(workers, hosts);
  while (drive.held < workers * SLOTS * BUSY_FRACTION) drive.request(1);
  return cpuPerOperation(1000, (count) => {
    for (let left = count; left > 0; left -= 1) {
      drive.nowMs += TICK_MS;
      drive.handle({ type: 'tick' });
    }
  });
}

function claimsOf(count: number): SlotMessage {
  const claims = Array.from({ length: count }, (_, index) => ({
    grantId: 1e15 + index,
    workerId: `${DOMAINS[0]}-w${(index % 165) + 1}`,
    team: teamName(index),
    kind: KIND,
    resources: { cores: 1, memoryMb: 1024, accelerators: 0 },
  }));
  return { type: 'slotClaims', claims };
}

function schedulerPerClaim(): readonly number[] {
  const drive = new SchedulerDrive(165, 9);
  const message = claimsOf(100);
  const from = { hostId: `${DOMAINS[0]}-2`, incarnation: INCARNATION };
  return cpuPerOperation(50_000, (count) => {
    for (let left = count; left > 0; left -= 100) {
      drive.handle({ type: 'peerMessages', from, messages: [message] });
    }
  });
}

function submitterPerStart(tasks: number): readonly number[] {
  const drive = new SubmitterDrive(9);
  return cpuPerOperation(STARTS, (count) => {
    for (let left = count; left > 0; left -= tasks) drive.submit(tasks);
  });
}

function submitterPerTick(waitingJobs: number): readonly number[] {
  const drive = new SubmitterDrive(9);
  drive.grants = false;
  for (let left = waitingJobs; left > 0; left -= 1) drive.submit(1);
  return cpuPerOperation(500, (count) => {
    for (let left = count; left > 0; left -= 1) {
      drive.nowMs += TICK_MS;
      drive.handle({ type: 'tick' });
    }
  });
}

function submitterPerSummary(): readonly number[] {
  const drive = new SubmitterDrive(9);
  const from = { hostId: `${DOMAINS[0]}-1`, incarnation: INCARNATION };
  return cpuPerOperation(20_000, (count) => {
    for (let left = count; left > 0; left -= 1) {
      drive.handle({ type: 'peerMessages', from, messages: [SUMMARIES.flooded] });
    }
  });
}

/** All rows of the decision code. */
export function decisionRows(): readonly SlopeRow[] {
  const row = (name: string, values: readonly number[]) => rowOf(GROUP, name, US, values);
  return [
    ...WORKERS.map((workers) =>
      row(`scheduler, per start, ${workers} workers, 9 hosts`, schedulerPerStart(workers, 9)),
    ),
    ...HOSTS.map((hosts) =>
      row(`scheduler, per start, 165 workers, ${hosts} hosts`, schedulerPerStart(165, hosts)),
    ),
    ...QUEUED.map((queued) =>
      row(
        `scheduler, per start, 165 workers, 9 hosts, ${queued} tasks queued`,
        schedulerWithQueue(165, 9, queued),
      ),
    ),
    row(
      'scheduler, per start, 990 workers, 36 hosts, 100000 tasks queued',
      schedulerWithQueue(990, 36, 100_000),
    ),
    ...WORKERS.map((workers) =>
      row(`scheduler, per tick, ${workers} workers, 9 hosts`, schedulerPerTick(workers, 9)),
    ),
    row('scheduler, per claim in a message of 100', schedulerPerClaim()),
    ...[1, 4, 100, 710].map((tasks) =>
      row(`submitter, per start, jobs of ${tasks} tasks`, submitterPerStart(tasks)),
    ),
    ...[0, 1000, 10_000].map((jobs) =>
      row(`submitter, per tick, ${jobs} jobs waiting`, submitterPerTick(jobs)),
    ),
    row(`submitter, per load summary of ${TEAMS} teams`, submitterPerSummary()),
  ];
}
