/** Configurations that take longer to transfer than the store may take to answer. */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { PlatformConfigurationSource } from '../../platform/configurations';
import { CONFIGURATION_KEY } from '../../platform/records';
import { PlatformStore } from '../../platform/store';
import { configurationText, until } from './deployment';
import { KvStandin } from './kvStandin';

const QUEUES = 2000;
/** Some 430 KB as the store sends them, so a transfer takes 1.4 s. */
const SLOW_BYTES_PER_S = 300_000;
const LONGEST_READ_MS = 6000;

describe('a large configuration', () => {
  let standin: KvStandin;
  let store: PlatformStore;
  let source: PlatformConfigurationSource;
  let versions: number[];
  let ends: unknown[];

  beforeEach(async () => {
    standin = new KvStandin();
    store = new PlatformStore(await standin.open());
    versions = [];
    ends = [];
    source = new PlatformConfigurationSource(store, {
      logDecision: (decision, { reason }) => {
        if (decision === 'configuration-watch-ended') ends.push(reason);
      },
    });
  });

  afterEach(async () => {
    source.close();
    await store.close();
    standin.close();
  });

  function subscribe(): void {
    source.subscribe({
      configurationRead: ({ version }) => versions.push(version),
      drainsRead: () => {},
      drainChanged: () => {},
    });
  }

  // Guards against a host that never has the configuration, because each read of it is given up
  // before its last byte and begins anew.
  it('is read over a slow link', async () => {
    standin.put(CONFIGURATION_KEY, configurationText(1, QUEUES));
    standin.replyLimits.bytesPerSecond = SLOW_BYTES_PER_S;
    subscribe();
    await until('the configuration is read', () => versions.length === 1, LONGEST_READ_MS);
    expect(versions).toEqual([1]);
    expect(ends).toEqual([]);
  });

  // Guards against a change that is given up because it came near the end of the watch's wait, when
  // the host would have to read everything again.
  it('is received by a watch whose wait is nearly over', async () => {
    standin.put(CONFIGURATION_KEY, configurationText(1));
    subscribe();
    await until('the first configuration is read', () => versions.length === 1);
    standin.replyLimits.bytesPerSecond = SLOW_BYTES_PER_S;
    await new Promise((resolve) => {
      setTimeout(resolve, 1700);
    });
    standin.put(CONFIGURATION_KEY, configurationText(2, QUEUES));
    await until('the change is received', () => versions.length === 2, LONGEST_READ_MS);
    expect(versions).toEqual([1, 2]);
    expect(ends).toEqual([]);
  });

  // Guards against a host that waits for ever for the rest of a reply whose connection has gone
  // silent.
  it('is read again if its transfer stalls', async () => {
    standin.put(CONFIGURATION_KEY, configurationText(1, QUEUES));
    standin.replyLimits.stallsAfterBytes = 100_000;
    subscribe();
    await until('the read has failed', () => ends.length === 1, LONGEST_READ_MS);
    standin.replyLimits.stallsAfterBytes = null;
    await until('the configuration is read', () => versions.length === 1, LONGEST_READ_MS);
    expect(versions).toEqual([1]);
  });
});
