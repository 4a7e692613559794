/**
 * A client cancels its job while the host that runs it is being stopped in an orderly way. The
 * platform routes the cancel to another host, which answers it; the job goes on.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { ownerInStore } from '../lib-2/cellOwner';
import { send } from '../lib-2/client';
import { CaseDeployment, CLIENT_HOST, JOB_PREFIX } from '../lib-2/deployment';
import type { HostProcess } from '../lib-2/hostProcess';
import { runCase, Verdict, type CaseContext } from '../lib-2/runCase';

const ZONE = 'bole';
/** `cancel_ms` of the site. */
const CANCEL_MS = 3000;
const JOB_ID = '00000000000000aa';
const DEADLINE_MS = 9000;
/** The second step begins so long after the first one. */
const FIRST_STEP_MS = 4800;
const SECOND_STEP_MS = 200;
/** The platform checks each host once a second, and needs two misses to take it out of rotation. */
const CHECK_PERIOD_MS = 1000;
const MISSES = 2;
/** From the submission to the SIGTERM, and from that to the next readiness check. */
const BEFORE_SIGTERM_MS = 200;
const BEFORE_CHECK_MS = 50;

/** When each task started, on the clock of the record. */
const startedAtMs = new Map<string, number>();

function submit({ record }: CaseContext, host: HostProcess): void {
  record.add('sent', { id: JOB_ID, host: host.hostId, method: 'POST' });
  send({
    address: host.callersAddress,
    method: 'POST',
    path: `${JOB_PREFIX}${JOB_ID}`,
    host: CLIENT_HOST,
    deadlineMs: DEADLINE_MS,
    body: {
      spec: String(FIRST_STEP_MS),
      bestEffort: true,
      steps: [
        { count: 2, cpu: 4000, memMb: 64, estimateMs: FIRST_STEP_MS },
        { count: 2, cpu: 4000, memMb: 64, estimateMs: SECOND_STEP_MS, after: [0] },
      ],
    },
  }).then(({ status, text }) =>
    record.add('answered', { id: JOB_ID, method: 'POST', status, text }),
  );
}

/** The host to which the platform routes a new channel of the client after two readiness checks. */
async function routeNewChannel(
  { record }: CaseContext,
  deployment: CaseDeployment,
  preferred: HostProcess,
): Promise<HostProcess> {
  let misses = 0;
  for (let check = 0; check < MISSES; check += 1) {
    // eslint-disable-next-line no-await-in-loop -- one check after the other
    if (check > 0) await sleep(CHECK_PERIOD_MS);
    // eslint-disable-next-line no-await-in-loop -- one check after the other
    const isReady = await deployment.isReady(preferred);
    record.add('readiness', { host: preferred.hostId, isReady });
    misses = isReady ? 0 : misses + 1;
  }
  const other = deployment.hosts.find((host) => host !== preferred) as HostProcess;
  return misses >= MISSES ? other : preferred;
}

async function play(context: CaseContext, deployment: CaseDeployment): Promise<Verdict> {
  const { record, hasTrouble } = context;
  await deployment.open([{ name: ZONE, hosts: 2, workers: 4 }]);
  if (!(await deployment.untilReady())) return Verdict.notRun;
  const owner = await ownerInStore(deployment.storeAddress, ZONE);
  const submitter = deployment.hosts.find(({ hostId }) => hostId !== owner);
  if (!submitter) return Verdict.notRun;
  // All machines have been in touch for `contactMs` before the job comes.
  await sleep(CANCEL_MS);
  submit(context, submitter);
  await sleep(BEFORE_SIGTERM_MS);
  if (hasTrouble) submitter.signal('SIGTERM');
  await sleep(BEFORE_CHECK_MS);
  const host = await routeNewChannel(context, deployment, submitter);
  record.add('sent', { id: JOB_ID, host: host.hostId, method: 'DELETE' });
  const { status } = await send({
    address: host.callersAddress,
    method: 'DELETE',
    path: `${JOB_PREFIX}${JOB_ID}`,
    host: CLIENT_HOST,
    deadlineMs: DEADLINE_MS,
  });
  const acknowledgedAtMs = record.nowMs;
  record.add('answered', { id: JOB_ID, method: 'DELETE', status });
  const isAcknowledged = status === 410 || (status !== null && status >= 200 && status < 300);
  if (!isAcknowledged) return Verdict.notRun;
  await sleep(FIRST_STEP_MS + CANCEL_MS);
  const late = [...startedAtMs].filter(([, atMs]) => atMs > acknowledgedAtMs + CANCEL_MS);
  late.forEach(([task, atMs]) =>
    record.add('started-late', { task, afterMs: Math.round(atMs - acknowledgedAtMs) }),
  );
  return late.length > 0 ? Verdict.broken : Verdict.held;
}

runCase(async (context) => {
  const { record } = context;
  const deployment = new CaseDeployment(record, {
    started: (worker, task, run) => {
      startedAtMs.set(`${task}#${run}`, record.nowMs);
      record.add('run', { worker: worker.id, task, run });
    },
    ended: (worker, task, run, how) => record.add('end', { worker: worker.id, task, run, how }),
  });
  try {
    return await play(context, deployment);
  } finally {
    await deployment.close();
  }
});
