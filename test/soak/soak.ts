/**
 * One seed of the soak: real dispatcher processes on loopback, stand-ins of the store and the workers,
 * and faults from outside, while the promises to callers and workers are checked.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '../../src/bench/random';
import { planFaults, type Fault } from './faultPlan';
import { Invariants } from './invariants';
import { RunLog } from './runLog';
import { SoakCallers } from './soakCallers';
import { SMALL_SHAPE, type SoakShape } from './soakShape';
import { SoakSite } from './soakSite';
import { FaultInjector } from './faultInjector';

/** Size of a soak. */
export interface SoakOptions {
  readonly seed: number;
  /** The small one if it is left out. */
  readonly shape?: SoakShape;
  readonly faults: number;
  /** Time in which faults begin. */
  readonly faultSeconds: number;
  /** Arguments of `node` for a host. */
  readonly program: readonly string[];
}

/** What one seed showed. */
export interface SoakReport {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly broken: readonly string[];
  readonly asked: number;
  readonly completed: number;
  /** Where the hosts' logs are; removed unless a promise was broken. */
  readonly folder: string;
}

/** Time for the hosts to start and to choose their layout. */
const START_MS = 5000;
/** Time after the last fault until jobs are served as before. */
const RECOVERY_SECONDS = 5;
const CHECKED_SECONDS = 3;
/** Share of the jobs of the last seconds that must be completed. */
const SERVED_AFTER = 0.9;

/** After the last fault jobs are served again. */
function checkRecovery(callers: SoakCallers, invariants: Invariants): void {
  const last = [...callers.served].sort(([one], [other]) => other - one).slice(0, CHECKED_SECONDS);
  const asked = last.reduce((sum, [, served]) => sum + served.asked, 0);
  const completed = last.reduce((sum, [, served]) => sum + served.completed, 0);
  if (completed < asked * SERVED_AFTER) {
    invariants.note(`only ${completed} of ${asked} jobs were completed after the last fault`);
  }
}

/** Plays one seed. */
export async function soak(options: SoakOptions): Promise<SoakReport> {
  const { shape = SMALL_SHAPE } = options;
  const random = new SeededRandom(options.seed);
  const folder = await mkdtemp(join(tmpdir(), `soak-${options.seed}-`));
  const log = new RunLog(folder);
  const invariants = new Invariants(log);
  const site = new SoakSite(shape);
  await site.open(options.program, folder, invariants, random.stream('site'));
  const faultMs = options.faultSeconds * 1000;
  const faults = planFaults(shape.kinds, options.faults, faultMs, random.stream('faults'));
  const callers = new SoakCallers(shape, site.hosts, invariants, random.stream('callers'));
  const injector = new FaultInjector(site, invariants);
  await sleep(START_MS);
  const played = faults.map((fault) => sleep(fault.atMs).then(() => injector.cause(fault)));
  const faultsOver = Promise.all(played);
  const seconds = options.faultSeconds + shape.longestFaultSeconds + RECOVERY_SECONDS;
  await Promise.all([callers.run(seconds), faultsOver]);
  checkRecovery(callers, invariants);
  site.hosts.forEach(({ ownEnds }) => ownEnds.forEach((end) => invariants.note(`own end: ${end}`)));
  await callers.close();
  await site.close();
  await log.close();
  const { broken } = invariants;
  if (broken.length === 0) await rm(folder, { recursive: true });
  const counts = [...callers.served.values()];
  return {
    seed: options.seed,
    faults,
    broken,
    asked: counts.reduce((sum, { asked }) => sum + asked, 0),
    completed: counts.reduce((sum, { completed }) => sum + completed, 0),
    folder,
  };
}
