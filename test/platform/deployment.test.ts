/** End-to-end tests of a deployment over loopback, with a simulated store and workers. */
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { request } from 'undici';
import { configurationText, TestDeployment, until } from './deployment';

const HEADERS = { host: 'desk.example' };
const DOMAINS = ['sofia-a', 'varna-c'];

let jobCount = 0;

function jobId(): string {
  jobCount += 1;
  return jobCount.toString(16).padStart(16, '0');
}

describe('a deployment on the platform', () => {
  const deployment = new TestDeployment(DOMAINS);
  before(() => deployment.open(2, 3));
  after(() => deployment.close());

  it('answers a job when all its tasks have ended, and runs each task once', async () => {
    const id = jobId();
    const response = await deployment.hosts[0]?.submit(id, '30', 4);
    expect(response?.statusCode).toEqual(200);
    expect(await response?.body.json()).toEqual({ state: 'completed' });
    const starts = deployment.starts.filter((start) => start.startsWith(id));
    expect(new Set(starts).size).toEqual(4);
    expect(starts.length).toEqual(4);
  });

  it('spreads a job that is too large for one failure domain', async () => {
    const response = await deployment.hosts[0]?.submit(jobId(), '200', 10);
    expect(response?.statusCode).toEqual(200);
  });

  it('reports a job as failed only after the maximum number of attempts of the queue', async () => {
    const id = jobId();
    const response = await deployment.hosts[1]?.submit(id, 'fail', 1);
    expect(await response?.body.json()).toEqual({ state: 'failed' });
    expect(deployment.starts.filter((start) => start.startsWith(id)).length).toEqual(2);
  });

  it('refuses a job that requires an unsupported feature, and starts nothing', async () => {
    const stored = jobId();
    const response = await deployment.hosts[0]?.submit(stored, '5', 1, { bestEffort: false });
    expect(response?.statusCode).toEqual(503);
    expect(response?.headers['retry-after']).not.toEqual(undefined);
    expect(deployment.starts.some((start) => start.startsWith(stored))).toEqual(false);
  });

  it('rejects invalid requests with the matching status, and logs each', async () => {
    const host = deployment.hosts[0];
    const url = `http://${host?.callersAddress}`;
    const statusOf = async (path: string, body: string) =>
      (await request(url + path, { method: 'POST', body, headers: HEADERS })).statusCode;
    expect(await statusOf('/elsewhere/0000000000000001', '{}')).toEqual(404);
    expect(await statusOf('/jobs/xyz', '{}')).toEqual(400);
    expect(await statusOf(`/jobs/${jobId()}`, 'not json')).toEqual(400);
    expect(await statusOf(`/jobs/${jobId()}`, 'x'.repeat(30_000))).toEqual(413);
    const rejected = host?.lines.filter(({ decision }) => decision === 'request-rejected');
    expect(rejected?.map(({ fields }) => fields.status)).toEqual([404, 400, 400, 413]);
    const unknown = await request(`${url}/jobs/${jobId()}`, { headers: HEADERS });
    expect(unknown.statusCode).toEqual(410);
  });

  it('joins a job that is submitted again while it runs, and starts its task once', async () => {
    const id = jobId();
    const host = deployment.hosts[0];
    const [first, second] = await Promise.all([
      host?.submit(id, '200', 1),
      host?.submit(id, '200', 1),
    ]);
    expect([first?.statusCode, second?.statusCode]).toEqual([200, 200]);
    expect(deployment.starts.filter((start) => start.startsWith(id)).length).toEqual(1);
  });

  it('puts a new configuration in force at every host, and ignores an older one', async () => {
    deployment.store.put('op/config', configurationText(7));
    const versions = () =>
      deployment.hosts.map(({ host }) => host.dispatcher.queues.configuration?.version);
    await until('version 7 everywhere', () => versions().every((version) => version === 7));
    deployment.store.put('op/config', configurationText(3));
    await sleep(300);
    expect(versions()).toEqual([7, 7, 7, 7]);
  });

  it('keeps serving while the store is unavailable', async () => {
    deployment.store.faults.busy = true;
    const response = await deployment.hosts[0]?.submit(jobId(), '20', 2);
    deployment.store.faults.busy = false;
    expect(response?.statusCode).toEqual(200);
  });

  it('logs each decision on a job with the id of the job', async () => {
    const id = jobId();
    await deployment.hosts[0]?.submit(id, '20', 1);
    const lines = deployment.hosts.flatMap((host) => host.lines);
    const about = lines.filter(({ fields }) => fields.jobId === id).map(({ decision }) => decision);
    ['job-accepted', 'batch-queued', 'placed', 'run-ended', 'batch-ended', 'job-answered'].forEach(
      (decision) => expect(about).toInclude(decision),
    );
  });

  it('serves its metrics as text', async () => {
    const response = await request(`http://${deployment.hosts[0]?.metricsAddress}/metrics`);
    const text = await response.body.text();
    expect(text.includes('wasabiyoke_jobs_total')).toEqual(true);
    expect(text.includes('wasabiyoke_job_seconds_bucket')).toEqual(true);
  });
});

describe('a failure domain with several cells', () => {
  const deployment = new TestDeployment(['sofia-a'], 2);
  before(() => deployment.open(2, 6));
  after(() => deployment.close());

  it('distributes its cells among its hosts', async () => {
    // The first host may own both cells for some seconds, until the other one takes one over.
    await until('each host owns a cell and knows the other', () =>
      deployment.hosts.every(
        ({ host }) => host.ownedCells.length === 1 && host.servedCells.length === 2,
      ),
    );
  });

  it('spreads a job over cells, each of which has its own workers', async () => {
    const id = jobId();
    const response = await deployment.hosts[0]?.submit(id, '100', 12);
    expect(response?.statusCode).toEqual(200);
    const lines = deployment.hosts.flatMap((host) => host.lines);
    const placed = lines.filter(
      ({ decision, fields }) => decision === 'placed' && fields.jobId === id,
    );
    expect(new Set(placed.map(({ fields }) => fields.cell)).size).toEqual(2);
  });
});

describe('the first start of a deployment', () => {
  const deployment = new TestDeployment(['sofia-a'], null);
  before(() => deployment.open(2, 3));
  after(() => deployment.close());

  it('chooses the number of cells once, for all hosts', () => {
    const layouts = deployment.hosts.map(({ lines }) =>
      lines.filter(({ decision }) => decision === 'layout').map(({ fields }) => fields),
    );
    layouts.forEach((lines) => {
      expect(lines.map(({ cellsPerDomain }) => cellsPerDomain)).toEqual([1]);
    });
  });
});

describe('a failure domain without hosts', () => {
  const deployment = new TestDeployment(DOMAINS);
  before(() => deployment.open(1, 1));
  after(() => deployment.close());

  it('is not claimed by other domains while none of its workers can be reached', async () => {
    const [near, far] = deployment.hosts;
    const worker = deployment.workers.find(({ domain }) => domain === 'varna-c');
    await far?.close();
    worker?.close();
    deployment.hosts.splice(1, 1);
    const withheld = () => near?.lines.some(({ decision }) => decision === 'claim-withheld');
    await until('a claim is withheld', () => withheld() === true);
    expect(near?.host.ownedCells).toEqual(['sofia-a']);
    await worker?.open();
    deployment.store.put(`servers/${worker?.id}`, worker?.entry() ?? '');
    await until('the cell is claimed', () => near?.host.ownedCells.length === 2);
  });
});

describe('a cell whose owner leaves', () => {
  const deployment = new TestDeployment(['sofia-a']);
  before(() => deployment.open(3, 2));
  after(() => deployment.close());

  const owner = () => deployment.hosts.find(({ host }) => host.ownedCells.length > 0);
  const others = () => deployment.hosts.filter((host) => host !== owner());

  it('is handed over during a drain; jobs in progress end and no task starts twice', async () => {
    const leaving = owner();
    const id = jobId();
    const answer = others()[0]?.submit(id, '700', 2);
    await until('the tasks run', () => deployment.workers.some(({ runs }) => runs.size > 0));
    const drained = leaving?.host.drain();
    const response = await answer;
    expect(response?.statusCode).toEqual(200);
    await drained;
    expect(leaving?.host.ownedCells).toEqual([]);
    expect(deployment.starts.filter((start) => start.startsWith(id)).length).toEqual(2);
  });

  it('is taken over when the owner disappears, and then serves jobs', async () => {
    const gone = owner();
    await gone?.close();
    deployment.hosts.splice(deployment.hosts.indexOf(gone as never), 1);
    const left = others().filter(({ host }) => !host.dispatcher.draining);
    await until('another host owns the cell', () =>
      left.some(({ host }) => host.ownedCells.length > 0),
    );
    const response = await left[0]?.submit(jobId(), '20', 2);
    expect(response?.statusCode).toEqual(200);
  });
});
