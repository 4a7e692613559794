/**
 * A worker crashes while the tasks of a job are started on it, and starts again at once under its id
 * and at its address, as another kind.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { WorkerStandin } from '../../test/platform/workerStandin';
import { send } from '../lib-2/client';
import { CaseDeployment, CLIENT_HOST, JOB_PREFIX } from '../lib-2/deployment';
import { runCase, Verdict, type CaseContext } from '../lib-2/runCase';

const ZONE = 'bole';
/** One worker of eight crashes at a time (0.125; the site file has a share of 0.14). */
const WORKERS = 8;
const KINDS = ['a', 'b'] as const;
type Kind = (typeof KINDS)[number];
const CRASHES = 10;
const CRASH_PERIOD_MS = 2000;
/** The worker is back at once: its port is closed only until the next process listens. */
const DOWN_MS = 0;
const BEFORE_MS = 2000;
const JOB_PERIOD_MS = 200;
/** All tasks of a job fit on one worker. */
const TASKS = 16;
const TASK_CPU_MILLIS = 4000;
const TASK_MS = 60;
const DEADLINE_MS = 1500;

/** The kind of each worker's present process. */
const kinds = new Map<string, Kind>();

/** The next worker of this kind on which a task is started crashes; null between crashes. */
let nextCrash: Kind | null = null;

let startsWithoutLabel = 0;

let jobsServed = 0;

function otherKind(kind: Kind): Kind {
  return kind === 'a' ? 'b' : 'a';
}

/** The kind that a job requires is the last digit of its id. */
function requiredKind(task: string): Kind {
  return task.split('.')[0]?.endsWith('a') ? 'a' : 'b';
}

function crash(
  { record }: CaseContext,
  deployment: CaseDeployment,
  worker: WorkerStandin,
): Promise<void> {
  const kind = otherKind(kinds.get(worker.id) ?? 'a');
  record.add('crash', { worker: worker.id, isBackAs: kind });
  kinds.set(worker.id, kind);
  return deployment.restartWorker(worker, [kind, 'r1-1'], DOWN_MS);
}

function started(
  context: CaseContext,
  deployment: CaseDeployment,
  worker: WorkerStandin,
  run: string,
): void {
  const { record } = context;
  const required = requiredKind(run);
  const kind = kinds.get(worker.id);
  record.add('run', { worker: worker.id, run, kind });
  if (kind !== required) {
    startsWithoutLabel += 1;
    record.add('without-label', { worker: worker.id, run, kind, required });
  } else if (nextCrash === kind) {
    nextCrash = null;
    setImmediate(() => crash(context, deployment, worker));
  }
}

function startTraffic({ record }: CaseContext, deployment: CaseDeployment): () => void {
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    const kind = KINDS[count % KINDS.length] as Kind;
    const host = deployment.hosts[Math.floor(count / 2) % deployment.hosts.length];
    if (!host) return;
    const id = `${count.toString(16).padStart(15, '0')}${kind}`;
    record.add('sent', { id, host: host.hostId, requires: kind });
    const step = { count: TASKS, cpu: TASK_CPU_MILLIS, memMb: 64, estimateMs: TASK_MS };
    send({
      address: host.callersAddress,
      method: 'POST',
      path: `${JOB_PREFIX}${id}`,
      host: CLIENT_HOST,
      deadlineMs: DEADLINE_MS,
      body: { spec: String(TASK_MS), bestEffort: true, steps: [{ ...step, requires: kind }] },
    }).then(({ status, text }) => {
      if (status === 200) jobsServed += 1;
      record.add('answered', { id, status, text });
    });
  }, JOB_PERIOD_MS);
  return () => clearInterval(timer);
}

async function play(context: CaseContext, deployment: CaseDeployment): Promise<Verdict> {
  await deployment.open([{ name: ZONE, hosts: 2, workers: WORKERS }], (worker, index) => {
    const kind = KINDS[index % KINDS.length] as Kind;
    kinds.set(worker.id, kind);
    deployment.setLabels(worker, [kind, 'r1-1']);
  });
  if (!(await deployment.untilReady())) return Verdict.notRun;
  const endTraffic = startTraffic(context, deployment);
  await sleep(BEFORE_MS);
  for (let count = 0; count < CRASHES; count += 1) {
    // The kinds take turns, so that there are always workers of both.
    if (context.hasTrouble) nextCrash = KINDS[count % KINDS.length] ?? null;
    // eslint-disable-next-line no-await-in-loop -- one crash after the other
    await sleep(CRASH_PERIOD_MS);
  }
  endTraffic();
  await sleep(DEADLINE_MS);
  if (deployment.hasLostHost || jobsServed === 0) return Verdict.notRun;
  return startsWithoutLabel > 0 ? Verdict.broken : Verdict.held;
}

runCase(async (context) => {
  const { record } = context;
  const deployment: CaseDeployment = new CaseDeployment(record, {
    started: (worker, task, run) => started(context, deployment, worker, `${task}#${run}`),
    ended: (worker, task, run, how) => record.add('end', { worker: worker.id, task, run, how }),
  });
  try {
    return await play(context, deployment);
  } finally {
    await deployment.close();
  }
});
