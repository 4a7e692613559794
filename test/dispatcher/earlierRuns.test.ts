/**
 * Guards against two runs of a task in two cells, after submitter and owner of one cell were lost
 * together and the client has sent its job again: the new owner must tell what still runs.
 */
import { describe, it, type TestContext } from 'node:test';
import { Err } from 'ts-results';
import { expect } from 'earl';
import { EarlierRuns } from '../../src/dispatcher/jobs/earlierRuns';
import { FoundRuns } from '../../src/dispatcher/jobs/foundRuns';
import { PeerClient } from '../../src/dispatcher/peers/peerClient';
import { PeerServer } from '../../src/dispatcher/peers/peerServer';
import { RunningJob } from '../../src/dispatcher/jobs/runningJob';
import { PortBlock } from '../../src/standins/portBlock';
import { batchOf } from '../cells/cellSimulation';
import { LeasedWorker } from './leasedWorker';
import { OwnerSimulation } from './ownerSimulation';

const JOB_ID = '00000000000000aa';
const RUN_MS = 800;
const LOST_RUNS_END_MS = 2050;

/** The submitter is lost with the owner, so its batch reaches no later owner. */
async function ownerLostDuringRun(context: TestContext): Promise<OwnerSimulation> {
  const simulation = new OwnerSimulation(context, [new LeasedWorker('w1'), new LeasedWorker('w2')]);
  await simulation.advance(50);
  const spec = { jobId: JOB_ID, estimateMs: RUN_MS, payload: String(RUN_MS), taskCount: 2 };
  simulation.owner.run(batchOf({ ...spec, goalMs: 9000, deadlineInMs: 9000 }));
  await simulation.advance(100);
  simulation.changeOwner();
  return simulation;
}

describe('the new owner of a cell', () => {
  // The fault: 46 ms after the takeover, another cell started a task whose earlier run went on.
  it('reports runs of a job from its first moment until they have ended', async (t) => {
    const simulation = await ownerLostDuringRun(t);
    expect(simulation.owner.runsOf(JOB_ID).mayRun).toEqual(true);
    await simulation.advance(50);
    expect(simulation.owner.runsOf(JOB_ID).mayRun).toEqual(true);
    const isRunning = () => simulation.workers.some(({ tasks }) => tasks.length > 0);
    while (isRunning()) {
      expect(simulation.owner.runsOf(JOB_ID).mayRun).toEqual(true);
      // eslint-disable-next-line no-await-in-loop -- virtual time
      await simulation.advance(1);
    }
    await simulation.advance(300);
    expect(simulation.owner.runsOf(JOB_ID).mayRun).toEqual(false);
    await simulation.close();
  });

  it('holds no other job back once its workers have listed their runs', async (t) => {
    const simulation = await ownerLostDuringRun(t);
    await simulation.advance(20);
    expect(simulation.owner.runsOf('00000000000000bb').mayRun).toEqual(false);
    await simulation.close();
  });

  // Guards against an answer that holds for good before anything is known of the workers.
  it('does not claim to know all runs before it knows its workers', async (t) => {
    const simulation = new OwnerSimulation(t, []);
    expect(simulation.owner.runsOf(JOB_ID).areAllListed).toEqual(false);
    expect(simulation.owner.runsOf(JOB_ID).mayRunOthers).toEqual(true);
    await simulation.close();
  });

  it('holds jobs back only briefly for a worker that does not answer', async (t) => {
    const simulation = await ownerLostDuringRun(t);
    Object.assign(simulation.workers[0] ?? {}, { silent: true });
    expect(simulation.owner.runsOf('00000000000000bb').mayRun).toEqual(true);
    await simulation.advance(200);
    expect(simulation.owner.runsOf('00000000000000bb').mayRun).toEqual(false);
    await simulation.close();
  });
});

describe('a job that its client sends again', () => {
  it('waits for the answer of an owner on another host, over its interface', async () => {
    const block = await PortBlock.reserve(1);
    const port = block.ports[0] ?? 0;
    const clock = { nowMs: () => performance.now(), timeOfDayMs: () => Date.now() };
    const journal = { logDecision: () => {} };
    const found = new Set([JOB_ID]);
    const asked: string[] = [];
    const server = new PeerServer(
      {
        incarnation: '1',
        status: () => {
          throw new Error('not asked in this test');
        },
        run: () => Promise.reject(new Error('not asked in this test')),
        withdraw: () => {},
        summary: () => null,
        runsOf: (cell, jobId) => {
          asked.push(cell);
          return { mayRun: found.has(jobId), foundJobs: [...found], areAllListed: true };
        },
        roomIn: () => null,
        preview: async () => Err('not part of this test'),
        configuration: () => null,
      },
      clock,
      journal,
    );
    await server.listen('127.0.0.1', port);
    const client = new PeerClient(clock, journal);
    const address = `127.0.0.1:${port}`;
    const foundRuns = new FoundRuns((owner, request) => client.runsOf(owner, request), clock);
    const earlierRuns = new EarlierRuns({
      cluster: {
        recentlyTakenOver: () => ['a'],
        lacksOwner: false,
        mayRunJob: (cell, jobId) =>
          foundRuns.mayRunJob({ address, incarnation: '1', token: 1000, cell, jobId }),
      },
      clock,
      journal,
      lostRunsEndMs: LOST_RUNS_END_MS,
    });
    const policy = {
      name: 'unlock',
      service: 'kiosk-dispatch',
      priority: 0,
      maxAttempts: 2,
      slackFactor: 1.6,
      goalMs: 60,
      timeoutMs: 1500,
    };
    const job = { id: JOB_ID, payload: 'x', steps: [] };
    const running = new RunningJob({ job, policy, deadlineInMs: 9000 }, 0, 9000);
    let isOver = false;
    const over = earlierRuns.waitUntilOver(running).then(() => {
      isOver = true;
    });
    while (asked.length < 3 && !isOver) {
      // eslint-disable-next-line no-await-in-loop -- polls
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
    expect(asked.length).toEqual(3);
    expect(isOver).toEqual(false);
    found.clear();
    await over;
    expect(new Set(asked)).toEqual(new Set(['a']));
    await client.close();
    server.close();
    await block.release();
  });
});
