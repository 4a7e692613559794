/**
 * Entries of another writer, whose service the configuration does not name, stand first in the list of
 * a zone's workers when the machines of that zone are lost.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { send, type ClientAnswer } from '../lib-2/client';
import { CaseDeployment, CLIENT_HOST, configuration, JOB_PREFIX } from '../lib-2/deployment';
import type { HostProcess } from '../lib-2/hostProcess';
import { runCase, Verdict, type CaseContext } from '../lib-2/runCase';

const LOST_ZONE = 'bole';
const OTHER_ZONE = 'piassa';
/** `recoveryS` of the site. */
const RECOVERY_MS = 12_000;
const SERVED_SHARE = 0.25;
const TRAFFIC_MS = 4000;
const REQUEST_PERIOD_MS = 50;
const DEADLINE_MS = 1500;
const TASK_MS = 300;
const FOREIGN_ENTRIES = 3;
const BEFORE_FAULT_MS = 2000;

let requestCount = 0;

/** Writes entries that name a service of somebody else; nothing listens at their addresses. */
function writeForeignEntries({ store }: CaseDeployment): void {
  for (let index = 1; index <= FOREIGN_ENTRIES; index += 1) {
    const entry = {
      backend: 'archive-batch',
      address: `127.0.0.1:${index}`,
      zone: LOST_ZONE,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
      capacity: { cpu: 16_000, memMb: 32_768, gpu: 0 },
      labels: ['a', 'r1-9'],
      clockMs: 1000,
      seq: 1,
      born: Date.now(),
    };
    store.put(`servers/archive-${index}`, JSON.stringify(entry));
  }
}

/** Submits jobs to the hosts in turn; returns the share that was served. */
async function playTraffic(
  { record }: CaseContext,
  hosts: readonly HostProcess[],
  phase: string,
): Promise<number> {
  const answers: Promise<ClientAnswer>[] = [];
  for (let sentMs = 0; sentMs < TRAFFIC_MS; sentMs += REQUEST_PERIOD_MS) {
    const host = hosts[answers.length % hosts.length] as HostProcess;
    requestCount += 1;
    const id = requestCount.toString(16).padStart(16, '0');
    record.add('sent', { id, host: host.hostId });
    const answer = send({
      address: host.callersAddress,
      method: 'POST',
      path: `${JOB_PREFIX}${id}`,
      host: CLIENT_HOST,
      deadlineMs: DEADLINE_MS,
      body: {
        spec: String(TASK_MS),
        bestEffort: true,
        steps: [{ count: 2, cpu: 27_000, memMb: 64, estimateMs: TASK_MS }],
      },
    });
    answer.then(({ status, text }) => record.add('answered', { id, status, text }));
    answers.push(answer);
    // eslint-disable-next-line no-await-in-loop -- requests are sent at a steady rate
    await sleep(REQUEST_PERIOD_MS);
  }
  const ended = await Promise.all(answers);
  const served = ended.filter(({ status }) => status === 200).length;
  record.add('traffic', { phase, asked: ended.length, served });
  return served / ended.length;
}

async function play(context: CaseContext, deployment: CaseDeployment): Promise<Verdict> {
  const { record, hasTrouble } = context;
  await deployment.open([
    { name: LOST_ZONE, hosts: 1, workers: 8 },
    { name: OTHER_ZONE, hosts: 1, workers: 1 },
  ]);
  const [lost, other] = deployment.hosts;
  if (!lost || !other || !(await deployment.untilReady())) return Verdict.notRun;
  if (hasTrouble) writeForeignEntries(deployment);
  await sleep(BEFORE_FAULT_MS);
  const before = await playTraffic(context, deployment.hosts, 'before the final fault');
  if (before < SERVED_SHARE) return Verdict.notRun;
  // The final fault: all processes end right after a configuration was acknowledged. The machine of
  // one zone is removed for good.
  deployment.store.put('op/config', configuration(2));
  await Promise.all([lost.kill(), other.killAndRestart()]);
  if (!(await deployment.untilReady([other]))) return Verdict.notRun;
  record.add('back', { host: other.hostId });
  await sleep(RECOVERY_MS);
  const after = await playTraffic(context, [other], 'after the recovery');
  if (deployment.hasLostHost) return Verdict.notRun;
  return after < SERVED_SHARE ? Verdict.broken : Verdict.held;
}

runCase(async (context) => {
  const { record } = context;
  const deployment = new CaseDeployment(record, {
    started: (worker, task, run) => record.add('run', { worker: worker.id, task, run }),
    ended: (worker, task, run, how) => record.add('end', { worker: worker.id, task, run, how }),
  });
  try {
    return await play(context, deployment);
  } finally {
    await deployment.close();
  }
});
