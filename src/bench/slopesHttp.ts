/**
 * CPU of entry hosts over real sockets on loopback: idle, which is what control costs, and per task
 * start under load through the callers' interface and the client of the workers. All hosts share the
 * main thread; the stand-ins and the load generator run in another one, whose CPU is not counted.
 */
import { open } from 'node:fs/promises';
import { NO_METRICS, PinoLog, SampledDecisionLog } from '../observe';
import type { HostOutputs } from '../host/outputs';
import type { Settings } from '../settings';
import { DOMAINS } from './slopesFleet';
import { mainThreadCpuUs } from './slopesMeter';
import { rowOf, type SlopeRow } from './slopesRow';
import { SlopesSite } from './slopesSite';
import type { StandinShape } from './slopesStandins';

const GROUP = 'entry hosts over HTTP';
const TODAY = { domains: DOMAINS.slice(0, 3), workersPerDomain: 10 };
const SIX_DOMAINS = { domains: DOMAINS, workersPerDomain: 5 };
const ONE_DOMAIN = DOMAINS.slice(0, 1);
const LOAD_MS = 5000;
const IDLE_MS = 6000;
const RUN_MS = 50;
const US_PER_S = 1e6;
/** Below this fraction of complete jobs the load was too high for the figures to mean anything. */
const COMPLETE_FRACTION = 0.99;

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Outputs that write all decision lines to the null device, or none. */
function outputsTo(fd: number, decisions: number): (settings: Settings) => HostOutputs {
  return ({ host }) => {
    const log = new PinoLog({ level: 'warn', fd, base: { host: host.id, domain: host.domain } });
    return {
      log,
      decisions: new SampledDecisionLog(log, decisions),
      metrics: NO_METRICS,
      close: () => Promise.resolve(),
    };
  };
}

async function sequence<T>(steps: readonly (() => Promise<T>)[]): Promise<readonly T[]> {
  const [step, ...rest] = steps;
  if (!step) return [];
  const result = await step();
  return [result, ...(await sequence(rest))];
}

/** CPU of the main thread in microseconds per second. */
async function idleUsPerS(): Promise<number> {
  const startUs = await mainThreadCpuUs();
  const startMs = performance.now();
  await pause(IDLE_MS);
  return (((await mainThreadCpuUs()) - startUs) / (performance.now() - startMs)) * 1000;
}

interface LoadCase {
  readonly tasksPerJob: number;
  readonly jobsPerS: number;
}

interface LoadCost {
  readonly usPerStart: number;
  readonly startsPerS: number;
}

async function loadCost(site: SlopesSite, load: LoadCase, idleUs: number): Promise<LoadCost> {
  await site.load({ ...load, runMs: RUN_MS, durationMs: 2000 });
  const startUs = await mainThreadCpuUs();
  const startMs = performance.now();
  const { total } = await site.load({ ...load, runMs: RUN_MS, durationMs: LOAD_MS });
  const seconds = (performance.now() - startMs) / 1000;
  const usedUs = (await mainThreadCpuUs()) - startUs - idleUs * seconds;
  if (total.outcomes.complete < total.jobs * COMPLETE_FRACTION) {
    throw new Error(`${total.outcomes.complete} of ${total.jobs} jobs were completed`);
  }
  return { usPerStart: usedUs / total.completedTasks, startsPerS: total.completedTasks / seconds };
}

async function withSite<T>(
  hosts: number,
  shape: StandinShape,
  decisions: number,
  use: (site: SlopesSite) => Promise<T>,
): Promise<T> {
  const file = await open('/dev/null', 'w');
  const site = await SlopesSite.open(hosts, shape, outputsTo(file.fd, decisions));
  try {
    return await use(site);
  } finally {
    await site.close();
    await file.close();
  }
}

async function idleRow(hosts: number, shape: StandinShape): Promise<SlopeRow> {
  const runs = await withSite(hosts, shape, 1, () =>
    sequence([idleUsPerS, idleUsPerS, idleUsPerS]),
  );
  const percent = runs.map((us) => (us / US_PER_S / hosts) * 100);
  const workers = `${shape.workersPerDomain} workers in each of ${shape.domains.length}`;
  return rowOf(GROUP, `idle, ${hosts} hosts, ${workers}, per host`, '% of a core', percent);
}

const CASES: readonly LoadCase[] = [
  { tasksPerJob: 1, jobsPerS: 200 },
  { tasksPerJob: 1, jobsPerS: 600 },
  { tasksPerJob: 4, jobsPerS: 150 },
  { tasksPerJob: 4, jobsPerS: 300 },
  { tasksPerJob: 16, jobsPerS: 60 },
  { tasksPerJob: 16, jobsPerS: 120 },
  { tasksPerJob: 100, jobsPerS: 10 },
];

async function loadRows(
  decisions: number,
  cases: readonly LoadCase[],
): Promise<readonly SlopeRow[]> {
  return withSite(3, TODAY, decisions, async (site) => {
    const idleUs = await idleUsPerS();
    return sequence(
      cases.map((load) => async () => {
        const step = () => loadCost(site, load, idleUs);
        const costs = await sequence([step, step, step]);
        const rate = costs.reduce((sum, cost) => sum + cost.startsPerS, 0) / costs.length;
        const lines = decisions === 1 ? 'all lines' : 'no decision lines';
        const name = `per start, jobs of ${load.tasksPerJob}, ${rate.toFixed(0)} starts/s, ${lines}`;
        const values = costs.map(({ usPerStart }) => usPerStart);
        return rowOf(GROUP, name, 'µs', values);
      }),
    );
  });
}

/** Rows of hosts at rest: control alone. */
export function restRows(): Promise<readonly SlopeRow[]> {
  return sequence([
    ...[3, 9].map((hosts) => () => idleRow(hosts, TODAY)),
    ...[18, 36].map((hosts) => () => idleRow(hosts, SIX_DOMAINS)),
    ...[10, 165].map(
      (workersPerDomain) => () => idleRow(3, { domains: ONE_DOMAIN, workersPerDomain }),
    ),
  ]);
}

/** Rows of hosts under load. */
export async function httpRows(): Promise<readonly SlopeRow[]> {
  const all = await loadRows(1, CASES);
  const none = await loadRows(
    0,
    CASES.filter(({ jobsPerS }) => jobsPerS === 300),
  );
  return [...all, ...none];
}
