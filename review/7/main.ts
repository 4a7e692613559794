/**
 * The store turns away the host that owns a cell, and the room of the workers shrinks meanwhile. The
 * store serves the other hosts, so the system could know.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { ownerInStore } from '../lib-2/cellOwner';
import { send } from '../lib-2/client';
import { CaseDeployment, CLIENT_HOST, configuration, JOB_PREFIX } from '../lib-2/deployment';
import { runCase, Verdict, type CaseContext } from '../lib-2/runCase';

const ZONE = 'bole';
/** A room that has shrunk counts `contactMs` and one beat later. */
const SHRUNK_COUNTS_MS = 3000 + 1500;
/** The store turns the owner away for 9 s, the length that the site file gives. */
const TURNED_AWAY_MS = 9000;
const SHRINKS_AFTER_MS = 500;
/** The room shrinks from 64 to 32 cores; a job has two tasks of 27 cores. */
const SHRUNK_CPU_MILLIS = 32_000;
const TASK_CPU_MILLIS = 27_000;
const TASK_MS = 300;
const JOB_PERIOD_MS = 500;
const DEADLINE_MS = 1500;
const BEFORE_MS = 4000;
const AFTER_MS = 2000;

/** Runs in progress by worker. */
const runs = new Map<string, Set<string>>();

/** When the room shrank, on the clock of the record; null before. */
let shrunkAtMs: number | null = null;

/** Starts that brought a worker over its room once that counts. */
let startsOver = 0;

function runsOn(worker: string): Set<string> {
  const known = runs.get(worker) ?? new Set<string>();
  runs.set(worker, known);
  return known;
}

function started({ record }: CaseContext, worker: string, run: string): void {
  const present = runsOn(worker).add(run);
  const usedCpuMillis = present.size * TASK_CPU_MILLIS;
  record.add('run', { worker, run, usedCpuMillis });
  const counts = shrunkAtMs !== null && record.nowMs >= shrunkAtMs + SHRUNK_COUNTS_MS;
  if (!counts || usedCpuMillis <= SHRUNK_CPU_MILLIS) return;
  startsOver += 1;
  record.add('over-capacity', { worker, run, usedCpuMillis, capacity: SHRUNK_CPU_MILLIS });
}

async function playTraffic(
  { record }: CaseContext,
  deployment: CaseDeployment,
  forMs: number,
): Promise<void> {
  const untilMs = record.nowMs + forMs;
  for (let count = 0; record.nowMs < untilMs; count += 1) {
    const id = Math.round(record.nowMs * 1000)
      .toString(16)
      .padStart(16, '0');
    const host = deployment.hosts[count % deployment.hosts.length];
    if (!host) return;
    record.add('sent', { id, host: host.hostId });
    send({
      address: host.callersAddress,
      method: 'POST',
      path: `${JOB_PREFIX}${id}`,
      host: CLIENT_HOST,
      deadlineMs: DEADLINE_MS,
      body: {
        spec: String(TASK_MS),
        bestEffort: true,
        steps: [{ count: 2, cpu: TASK_CPU_MILLIS, memMb: 64, estimateMs: TASK_MS }],
      },
    }).then(({ status, text }) => record.add('answered', { id, status, text }));
    // eslint-disable-next-line no-await-in-loop -- requests are sent at a steady rate
    await sleep(JOB_PERIOD_MS);
  }
}

async function play(context: CaseContext, deployment: CaseDeployment): Promise<Verdict> {
  const { record, hasTrouble } = context;
  await deployment.open([{ name: ZONE, hosts: 3, workers: 2 }]);
  deployment.store.put('op/config', configuration(2, false));
  if (!(await deployment.untilReady())) return Verdict.notRun;
  await playTraffic(context, deployment, BEFORE_MS);
  const ownerId = await ownerInStore(deployment.storeAddress, ZONE);
  const owner = deployment.hosts.find(({ hostId }) => hostId === ownerId);
  if (!owner) return Verdict.notRun;
  if (hasTrouble) owner.cutStore();
  const traffic = playTraffic(context, deployment, TURNED_AWAY_MS + AFTER_MS);
  await sleep(SHRINKS_AFTER_MS);
  deployment.setCapacity(SHRUNK_CPU_MILLIS);
  shrunkAtMs = record.nowMs;
  await sleep(TURNED_AWAY_MS - SHRINKS_AFTER_MS);
  if (hasTrouble) owner.heal();
  await traffic;
  await sleep(DEADLINE_MS);
  if (deployment.hasLostHost) return Verdict.notRun;
  return startsOver > 0 ? Verdict.broken : Verdict.held;
}

runCase(async (context) => {
  const { record } = context;
  const deployment = new CaseDeployment(record, {
    started: (worker, task, run) => started(context, worker.id, `${task}#${run}`),
    ended: (worker, task, run, how) => {
      runsOn(worker.id).delete(`${task}#${run}`);
      record.add('end', { worker: worker.id, task, run, how });
    },
  });
  try {
    return await play(context, deployment);
  } finally {
    await deployment.close();
  }
});
