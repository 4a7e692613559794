/** Tasks that crash the workers of a whole deployment, with clients that send their jobs again. */
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { TestDeployment, until } from './deployment';
import { jobIdOf } from './jobRequest';
import type { TestHost } from './testHost';

const DOMAINS = ['sofia-a', 'varna-c'];
const RESUBMISSION_MS = 1300;

/** Submits a job of one task that crashes its worker; resolves with status and state. */
async function submitTo(host: TestHost | undefined, id: string): Promise<string> {
  if (!host) throw new Error('no such host');
  const { statusCode, body } = await host.submit(id, 'crash', 1);
  const { state } = (await body.json()) as { state?: string };
  return `${statusCode} ${state ?? ''}`.trim();
}

/** Submits an ordinary job until it is completed, as a client does; returns the answers. */
async function answersUntilCompleted(
  host: TestHost | undefined,
  id: string,
): Promise<readonly string[]> {
  const response = await host?.submit(id, '100', 1);
  const { state, reason } = (await response?.body.json()) as { state?: string; reason?: string };
  const answer = state ?? reason ?? '';
  if (answer === 'completed' || answer === 'failed') return [answer];
  await sleep(RESUBMISSION_MS);
  return [answer, ...(await answersUntilCompleted(host, id))];
}

function startsOf(deployment: TestDeployment, id: string): number {
  return deployment.starts.filter((start) => start.startsWith(id)).length;
}

describe('a task that crashes the workers of a deployment', () => {
  const deployment = new TestDeployment(DOMAINS);
  before(() => deployment.open(2, 4));
  after(() => deployment.close());

  // Guards against a task that is started for as long as its deadline allows, and again by each
  // host that its client turns to.
  it('is started twice, and its job fails at every host from then on', async () => {
    const id = jobIdOf(1);
    expect(await submitTo(deployment.hosts[0], id)).toEqual('200 failed');
    const answers = await Promise.all(deployment.hosts.map((host) => submitTo(host, id)));
    expect(answers).toEqual(deployment.hosts.map(() => '200 failed'));
    expect(startsOf(deployment, id)).toEqual(2);
  });

  // Guards against jobs that fail because their tasks shared a worker with it.
  it('fails none of the other jobs, and all complete for clients that send them again', async () => {
    const crashing = submitTo(deployment.hosts[1], jobIdOf(2));
    const others = await Promise.all(
      Array.from({ length: 12 }, (_, index) =>
        answersUntilCompleted(deployment.hosts[index % 4], jobIdOf(100 + index)),
      ),
    );
    others.forEach((answers) => {
      expect(answers).not.toInclude('failed');
      expect(answers.at(-1)).toEqual('completed');
    });
    expect(await crashing).toEqual('200 failed');
  });
});

describe('a task that crashes workers while hosts and the store are lost', () => {
  let deployment = new TestDeployment(DOMAINS);
  beforeEach(async () => {
    deployment = new TestDeployment(DOMAINS);
    await deployment.open(2, 4);
  });
  afterEach(() => deployment.close());

  // Guards against a count that is lost with the host that made it.
  it('is started twice although the host that saw the first crash is gone', async () => {
    const id = jobIdOf(3);
    const isOwner = ({ host }: TestHost) => host.ownedCells.length > 0;
    const [owner] = deployment.hosts.splice(deployment.hosts.findIndex(isOwner), 1);
    const lost = submitTo(owner, id).catch(() => 'cut');
    await until('the store has the record', () => deployment.store.has('wasabiyoke/crashes/'));
    await owner?.close();
    await lost;
    expect(await submitTo(deployment.hosts[0], id)).toEqual('200 failed');
    expect(await submitTo(deployment.hosts[2], id)).toEqual('200 failed');
    expect(startsOf(deployment, id)).toEqual(2);
  });

  // Guards against a count that only the store passes on.
  it('is started twice although the store is not available', async () => {
    deployment.store.faults.busy = true;
    const id = jobIdOf(4);
    expect(await submitTo(deployment.hosts[0], id)).toEqual('200 failed');
    await until('every host knows', () =>
      deployment.hosts.every(({ host }) => host.dispatcher.stateOf(id) === 'failed'),
    );
    expect(await submitTo(deployment.hosts[3], id)).toEqual('200 failed');
    expect(startsOf(deployment, id)).toEqual(2);
  });
});
