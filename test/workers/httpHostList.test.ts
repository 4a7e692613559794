/** Guards against treating an outage or a malformed list as an empty list. */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { HostListServer } from '../../src/standins/hostListServer';
import { HttpHostList } from '../../src/workers/httpHostList';
import type { HostListEntry } from '../../src/workers/hostList';

const LAG_MS = 1000;
const LIVE: HostListEntry = {
  id: 'w1',
  domain: 'bole',
  rack: 'r1',
  address: '127.0.0.1:1',
  state: 'live',
};
const OTHER_DOMAIN: HostListEntry = { ...LIVE, id: 'w2', domain: 'piassa' };

let nowMs: number;
let server: HostListServer;
let hostList: HttpHostList;

describe('HttpHostList', () => {
  beforeEach(async () => {
    nowMs = 0;
    server = new HostListServer(LAG_MS, () => nowMs);
    await server.open();
    server.set([LIVE, OTHER_DOMAIN]);
    hostList = new HttpHostList(server.address, { timeoutMs: 1000 });
  });

  afterEach(async () => {
    await hostList.close();
    await server.close();
  });

  it('reads the entries of one domain and does not transfer an unchanged list again', async () => {
    expect(await hostList.read('bole')).toEqual([LIVE]);
    expect(await hostList.read('bole')).toEqual('unchanged');
    expect(await hostList.read('piassa')).toEqual([OTHER_DOMAIN]);
    expect(server.sentInFull).toEqual(2);
  });

  it('returns a change once the lag of the host list has passed', async () => {
    await hostList.read('bole');
    server.set([{ ...LIVE, state: 'leaving' }]);
    expect(await hostList.read('bole')).toEqual('unchanged');
    nowMs += LAG_MS;
    expect(await hostList.read('bole')).toEqual([{ ...LIVE, state: 'leaving' }]);
  });

  it('returns null during an outage and recovers afterwards', async () => {
    await hostList.read('bole');
    server.outage = 'errors';
    expect(await hostList.read('bole')).toEqual(null);
    server.outage = 'silent';
    expect(await hostList.read('bole')).toEqual(null);
    server.outage = 'none';
    expect(await hostList.read('bole')).toEqual('unchanged');
  });

  it('returns null for a malformed list and does not store its ETag', async () => {
    server.set([{ ...LIVE, state: 'gone' } as unknown as HostListEntry]);
    nowMs += LAG_MS;
    expect(await hostList.read('bole')).toEqual(null);
    expect(await hostList.read('bole')).toEqual(null);
  });
});
