/**
 * After a final fault a host is cut off, claims the cell of its zone without the store, and loses
 * power while it is cut off. The workers then obey a fencing token that no other host knows of.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { ownerInStore } from '../lib-2/cellOwner';
import { send, type ClientAnswer } from '../lib-2/client';
import { CaseDeployment, CLIENT_HOST, configuration, JOB_PREFIX } from '../lib-2/deployment';
import type { HostProcess } from '../lib-2/hostProcess';
import { runCase, Verdict, type CaseContext } from '../lib-2/runCase';

const ZONE = 'bole';
/** `recoveryS` of the site. */
const RECOVERY_MS = 12_000;
/** The share of requests that must be served after the recovery, and before for the rule to hold. */
const SERVED_SHARE = 0.25;
/** Traffic before the final fault and after the recovery. */
const TRAFFIC_MS = 4000;
const REQUEST_PERIOD_MS = 100;
const DEADLINE_MS = 1500;
const TASK_MS = 60;
/** From the return of the machines to the cut. */
const BEFORE_CUT_MS = 4000;
/** The cut lasts 5.5 s, the length that the site file gives; the host loses power in it. */
const CUT_MS = 5500;
const POWER_LOST_AFTER_MS = 3500;
const DARK_MS = 3000;

let requestCount = 0;

function nextJobId(): string {
  requestCount += 1;
  return requestCount.toString(16).padStart(16, '0');
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
    const id = nextJobId();
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
        steps: [{ count: 2, cpu: 4000, memMb: 64, estimateMs: TASK_MS }],
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

async function cutAndLosePower(context: CaseContext, deployment: CaseDeployment): Promise<void> {
  const { record } = context;
  const owner = await ownerInStore(deployment.storeAddress, ZONE);
  const victim = deployment.hosts.find(({ hostId }) => hostId !== owner);
  if (!victim) throw new Error('there is no host beside the owner');
  record.add('cut-begins', { owner, victim: victim.hostId });
  // The other host's link from its peers carries only what the victim sends.
  const others = deployment.hosts.filter((host) => host !== victim);
  victim.cut();
  others.forEach((host) => host.cutPeers());
  await sleep(POWER_LOST_AFTER_MS);
  const isBack = victim.losePower(DARK_MS);
  others.forEach((host) => host.silencePeerLink());
  await sleep(CUT_MS - POWER_LOST_AFTER_MS);
  deployment.hosts.forEach((host) => host.heal());
  await isBack;
}

async function play(context: CaseContext, deployment: CaseDeployment): Promise<Verdict> {
  const { record, hasTrouble } = context;
  const { hosts } = deployment;
  await deployment.open([{ name: ZONE, hosts: 2, workers: 6 }]);
  if (!(await deployment.untilReady())) return Verdict.notRun;
  const before = await playTraffic(context, hosts, 'before the final fault');
  if (before < SERVED_SHARE) return Verdict.notRun;
  // The final fault: all processes are killed right after a configuration was acknowledged.
  deployment.store.put('op/config', configuration(2));
  await Promise.all(hosts.map((host) => host.killAndRestart()));
  if (!(await deployment.untilReady())) return Verdict.notRun;
  record.add('back', {});
  await sleep(BEFORE_CUT_MS);
  if (hasTrouble) await cutAndLosePower(context, deployment);
  else await sleep(POWER_LOST_AFTER_MS + DARK_MS);
  record.add('trouble-over', {});
  // Counted from the end of all trouble, which is later than the return of the machines.
  await sleep(RECOVERY_MS);
  const after = await playTraffic(context, hosts, 'after the recovery');
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
    await deployment.close(process.env.KEEP_LOGS === '1');
    if (process.env.KEEP_LOGS === '1') record.add('logs', { folder: deployment.folder });
  }
});
