/** Memory of the decision code and of membership, as the growth of the heap per item. */
import { Simulation } from '../membership/simulation';
import { bytesPerItem } from './slopesMeter';
import { rowOf, type SlopeRow } from './slopesRow';
import { SchedulerDrive } from './slopesScheduler';
import { SubmitterDrive } from './slopesSubmitter';

const GROUP = 'memory';
const QUEUED = 100_000;
const JOBS = 20_000;
const WORKERS = 5000;
const PEERS = 72;

function queuedAtScheduler(jobTasks: number): readonly number[] {
  return bytesPerItem(QUEUED, () => {
    const drive = new SchedulerDrive(1, 9);
    for (let left = QUEUED; left > 0; left -= jobTasks) drive.request(jobTasks, true);
    return drive;
  });
}

function queuedAtSubmitter(jobTasks: number): readonly number[] {
  return bytesPerItem(QUEUED, () => {
    const drive = new SubmitterDrive(9);
    drive.grants = false;
    for (let left = QUEUED; left > 0; left -= jobTasks) drive.submit(jobTasks);
    return drive;
  });
}

function keptSubmission(jobTasks: number, jobs: number): readonly number[] {
  return bytesPerItem(jobs, () => {
    const drive = new SubmitterDrive(9);
    for (let left = jobs; left > 0; left -= 1) drive.submit(jobTasks);
    if (drive.answers !== jobs) throw new Error(`${drive.answers} of ${jobs} jobs were answered`);
    return drive;
  });
}

/** All hosts of one run, each knowing all others; divided by the pairs. */
function knownPeer(): readonly number[] {
  return bytesPerItem(PEERS * PEERS, () => {
    const simulation = new Simulation(7);
    const names = Array.from({ length: PEERS }, (_, index) => `host-${index}`);
    names.forEach((name) => simulation.start(name, `${name}x1`, names.slice(0, 3)));
    simulation.run(20_000, () => simulation.agreed());
    return simulation;
  });
}

/** All rows of memory. */
export function memoryRows(): readonly SlopeRow[] {
  const row = (name: string, values: readonly number[]) => rowOf(GROUP, name, 'bytes', values);
  return [
    row('scheduler, per task queued, jobs of 1 task', queuedAtScheduler(1)),
    row('scheduler, per task queued, jobs of 100 tasks', queuedAtScheduler(100)),
    row('submitter, per task queued, jobs of 1 task', queuedAtSubmitter(1)),
    row('submitter, per task queued, jobs of 100 tasks', queuedAtSubmitter(100)),
    row('submitter, per finished job kept, 1 task', keptSubmission(1, JOBS)),
    row('submitter, per finished job kept, 4 tasks', keptSubmission(4, JOBS)),
    row('submitter, per finished job kept, 100 tasks', keptSubmission(100, JOBS / 20)),
    row(
      'scheduler, per known worker',
      bytesPerItem(WORKERS, () => new SchedulerDrive(WORKERS, 9)),
    ),
    row('membership, per known peer', knownPeer()),
  ];
}
