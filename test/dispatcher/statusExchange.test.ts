/** Configurations that a host gets from other hosts by its status exchange. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { DrainedDomains } from '../../src/dispatcher/drainedDomains';
import { QueueTable } from '../../src/dispatcher/jobs/queueTable';
import type { PeerClient } from '../../src/dispatcher/peers/peerClient';
import { StatusExchange } from '../../src/dispatcher/peers/statusExchange';
import { STATUS_REQUEST, SUBMITTER } from './peerFixtures';

const HOSTS = 40;
const TICK_MS = 25;

describe('the status exchange', () => {
  // Guards against a host whose link is filled with copies of a configuration, because each host
  // that is heard to have a newer version is asked for it at once (issue 38).
  it('asks one of many hosts that have a newer configuration', () => {
    let nowMs = 0;
    let asked = 0;
    const clock = { nowMs: () => nowMs, timeOfDayMs: () => nowMs };
    const journal = { logDecision: () => {} };
    const configuration = () => {
      asked += 1;
      return new Promise(() => {});
    };
    const records = {
      digest: '',
      all: () => [],
      merge: () => {},
      domainPeers: () => [],
      cellsPerDomain: null,
    };
    const exchange = new StatusExchange({
      self: { ...SUBMITTER, hostId: 'b', address: '10.0.0.2:1' },
      peers: { configuration, mayHaveBatchesAt: () => false } as unknown as PeerClient,
      seeds: [],
      queues: new QueueTable(),
      records: records as never,
      lists: { versionOf: () => 0, newerThan: () => null, wanted: () => [] } as never,
      crashes: { changesSince: () => undefined, learn: () => {} } as never,
      drains: new DrainedDomains({ domains: [], clock, journal, onChange: () => {} }),
      clock,
      journal,
      onSummaries: () => {},
      onPolled: () => {},
    });
    for (let index = 0; index < HOSTS; index += 1) {
      const from = { ...SUBMITTER, hostId: `a${index}`, address: `10.0.1.${index}:1` };
      exchange.answer({ ...STATUS_REQUEST, from, configurationVersion: 2 }, [], false);
      nowMs += TICK_MS;
      exchange.pollDue(false, nowMs);
    }
    expect(asked).toEqual(1);
    exchange.close();
  });
});
