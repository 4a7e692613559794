/** Requests at a host that has heard of a newer configuration and does not have it. */
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { PeerPath } from '../../src/dispatcher/peers/peerMessages';
import { STATUS_REQUEST, SUBMITTER } from '../dispatcher/peerFixtures';
import { configurationText, TestDeployment, until } from './deployment';
import type { TestHost } from './testHost';

/** Nobody listens there, so the host does not get the version from there. */
const OTHER_HOST = { ...SUBMITTER, domain: 'sofia-a', address: '127.0.0.1:9' };

async function tellVersion({ peersAddress }: TestHost, version: number): Promise<void> {
  const body = { ...STATUS_REQUEST, from: OTHER_HOST, configurationVersion: version };
  const { body: reply } = await request(`http://${peersAddress}${PeerPath.status}`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  await reply.dump();
}

/** Status code of a request for a queue that version 1 does not have. */
async function statusOfUnknown({ callersAddress }: TestHost): Promise<number> {
  const { statusCode, body } = await request(`http://${callersAddress}/other-0/0000000000000001`, {
    method: 'POST',
    headers: { host: 'desk.example' },
    body: '{}',
  });
  await body.dump();
  return statusCode;
}

describe('a host that has heard of a newer configuration', () => {
  const deployment = new TestDeployment(['sofia-a']);
  before(() => deployment.open(1, 2));
  after(() => deployment.close());

  // Guards against callers who are told that a queue does not exist by a host that knows that its
  // configuration is out of date (issue 38).
  it('refuses requests for unknown queues as not run until it has the configuration', async () => {
    const [host] = deployment.hosts;
    if (!host) throw new Error('there is no host');
    expect(await statusOfUnknown(host)).toEqual(404);
    await tellVersion(host, 2);
    expect(await statusOfUnknown(host)).toEqual(503);
    expect((await host.submit('0000000000000002', '30')).statusCode).toEqual(200);
    deployment.store.put('op/config', configurationText(2));
    const hasVersion = () => host.host.dispatcher.queues.configuration?.version === 2;
    await until('the configuration is in force', hasVersion);
    expect(await statusOfUnknown(host)).toEqual(404);
  });
});
