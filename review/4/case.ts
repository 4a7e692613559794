/**
 * One worker after the other crashes and starts again under its id, at its address, as a worker of
 * another kind. Clients send jobs that need one kind or the other.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { newJobId } from '../lib/client';
import type { JobBody } from '../lib/ledger';
import { runCase } from '../lib/runCase';
import type { Site } from '../lib/site';
import { ROUTE, smallSite, traitsOf } from '../lib/smallSite';

const KINDS = ['a', 'a', 'a', 'b', 'b', 'b', 'a', 'b'];
const TASK_MS = 60;
const DEADLINE_MS = 1500;
const SEND_PERIOD_MS = 60;
const CRASHES = 8;
const DOWN_MS = 3500;
const UP_MS = 1500;

function jobFor(kind: string): JobBody {
  const step = { count: 4, cpu: 27_000, memMb: 64, estimateMs: TASK_MS, requires: kind };
  return { spec: String(TASK_MS), bestEffort: true, steps: [step] };
}

/** Sends jobs for both kinds in turn, to the nodes in turn, until `isOver`. */
async function sendJobs(site: Site, isOver: () => boolean): Promise<void> {
  const { host, prefix } = ROUTE;
  for (let count = 0; !isOver(); count += 1) {
    const { node, frontAddress } = site.host(count % site.hosts.length);
    const body = jobFor(count % 2 === 0 ? 'a' : 'b');
    const target = { node, frontAddress, host, deadlineMs: DEADLINE_MS, body };
    site.client.submit(target, prefix, newJobId());
    // eslint-disable-next-line no-await-in-loop -- a steady rate
    await sleep(SEND_PERIOD_MS);
  }
}

/** Crashes one worker; with trouble it comes back as one of the other kind. */
async function crashOne(site: Site, index: number, hasTrouble: boolean): Promise<void> {
  const worker = [...site.workers.values()][index % site.workers.size];
  if (!worker) throw new Error('there is no worker');
  const [kind = ''] = worker.traits.labels;
  const otherKind = kind === 'a' ? 'b' : 'a';
  worker.crash();
  await sleep(DOWN_MS);
  await worker.boot(traitsOf(hasTrouble ? otherKind : kind));
  await sleep(UP_MS);
}

async function play(site: Site, hasTrouble: boolean): Promise<readonly string[]> {
  let isOver = false;
  const sending = sendJobs(site, () => isOver);
  for (let crash = 0; crash < CRASHES; crash += 1) {
    // eslint-disable-next-line no-await-in-loop -- one worker at a time
    await crashOne(site, crash, hasTrouble);
  }
  isOver = true;
  await sending;
  await sleep(DEADLINE_MS);
  return site.ledger.runs.flatMap(({ worker, task, run, labels, beganAtMs }) => {
    const label = site.ledger.stepOf(task)?.requires;
    if (label === undefined || labels.includes(label)) return [];
    const at = Math.round(beganAtMs);
    return [`${task} run ${run}, which requires ${label}, began on ${worker} (${labels}) at ${at}`];
  });
}

runCase({ shape: smallSite(KINDS), play });
