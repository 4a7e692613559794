/** The return after a loss of all hosts: clients send at once, before any cell has an owner. */
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { TestDeployment } from './deployment';

const JOBS = 12;
const TASKS = 2;
const STORE_AWAY_MS = 300;

let jobCount = 0;

/** Sends a job to each host in turn, all at the same time; returns their status codes. */
async function submitAtOnce(deployment: TestDeployment): Promise<readonly unknown[]> {
  const { hosts } = deployment;
  const responses = await Promise.all(
    Array.from({ length: JOBS }, (_, index) => {
      jobCount += 1;
      const id = jobCount.toString(16).padStart(16, '0');
      return hosts[index % hosts.length]?.submit(id, '30', TASKS);
    }),
  );
  return responses.map((response) => response?.statusCode);
}

function countServed(statusCodes: readonly unknown[]): number {
  return statusCodes.filter((status) => status === 200).length;
}

describe('a deployment that has lost all hosts at once', () => {
  const deployment = new TestDeployment(['sofia-a', 'varna-c'], 2);
  before(() => deployment.open(2, 8));
  after(() => deployment.close());

  // Guards against refusals of jobs that arrive before the configuration is read and cells have
  // owners: their callers do not come back.
  it('serves the jobs that arrive with the first moment, each task once', async () => {
    await deployment.loseAllHosts();
    expect(countServed(await submitAtOnce(deployment))).toEqual(JOBS);
    expect(deployment.starts.length).toEqual(JOBS * TASKS);
    expect(new Set(deployment.starts).size).toEqual(JOBS * TASKS);
  });

  // Guards against hosts that do not serve because the store is away when they return.
  it('serves the jobs that arrive before the store is back', async () => {
    deployment.store.faults.busy = true;
    await deployment.loseAllHosts();
    const statusCodes = submitAtOnce(deployment);
    await sleep(STORE_AWAY_MS);
    deployment.store.faults.busy = false;
    expect(countServed(await statusCodes)).toEqual(JOBS);
  });
});
