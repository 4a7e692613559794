/** Lookup of the queue of a request, and replacement of configurations by version. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import {
  QueueTable,
  type QueueBinding,
  type QueueConfiguration,
} from '../../src/dispatcher/jobs/queueTable';

function binding(name: string, hostName: string, pathPrefix: string): QueueBinding {
  const policy = {
    name,
    service: 'desk',
    priority: 0,
    maxAttempts: 2,
    slackFactor: 1.6,
    goalMs: 60,
    timeoutMs: 1500,
  };
  return { hostName, pathPrefix, policy, unsupported: null };
}

function configuration(version: number, bindings: readonly QueueBinding[]): QueueConfiguration {
  return { version, bindings, services: ['desk'], bodyLimitBytes: 1000 };
}

describe('the queue table', () => {
  const table = new QueueTable();
  table.apply(
    configuration(5, [
      binding('short', 'a.example', '/jobs/'),
      binding('long', 'a.example', '/jobs/large/'),
      binding('other', 'b.example', '/jobs/'),
    ]),
  );

  it('matches the longest prefix of the path on the named host', () => {
    expect(table.match('a.example', '/jobs/1')?.binding.policy.name).toEqual('short');
    expect(table.match('a.example', '/jobs/large/1')?.binding.policy.name).toEqual('long');
    expect(table.match('b.example', '/jobs/large/1')?.rest).toEqual('large/1');
  });

  it('ignores the port and the case of the host', () => {
    expect(table.match('A.Example:8080', '/jobs/1')?.binding.policy.name).toEqual('short');
  });

  it('finds nothing for an unknown host or path', () => {
    expect(table.match('c.example', '/jobs/1')).toEqual(null);
    expect(table.match('a.example', '/job')).toEqual(null);
  });

  it('rejects versions that are not newer', () => {
    expect(table.apply(configuration(4, []))).toEqual(false);
    expect(table.apply(configuration(5, []))).toEqual(false);
    expect(table.configuration?.version).toEqual(5);
  });
});
