/** How a host that is behind gets a newer configuration from other hosts. */
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'earl';
import { QueueTable, type QueueConfiguration } from '../../src/dispatcher/jobs/queueTable';
import { ConfigurationExchange } from '../../src/dispatcher/peers/configurationExchange';
import { TransferSlots } from '../../src/dispatcher/peers/transferSlots';

function configuration(version: number): QueueConfiguration {
  return { version, bindings: [], services: [], bodyLimitBytes: 1000 };
}

/** Period at which a host checks whether it asks another one. */
const TICK_MS = 25;

describe('a host that is behind other hosts', () => {
  /** Hosts that were asked, and the functions that answer them. */
  let asked: string[];
  let answers: ((found: QueueConfiguration | null) => void)[];
  let decisions: string[];
  let exchange: ConfigurationExchange;
  let nowMs: number;

  function pass(elapsedMs: number): void {
    for (let passedMs = 0; passedMs < elapsedMs; passedMs += TICK_MS) {
      nowMs += TICK_MS;
      exchange.askIfDue();
    }
  }

  async function answer(index: number, found: QueueConfiguration | null): Promise<void> {
    answers[index]?.(found);
    await setImmediate();
  }

  beforeEach(() => {
    asked = [];
    answers = [];
    decisions = [];
    nowMs = 0;
    exchange = new ConfigurationExchange({
      queues: new QueueTable(),
      peers: {
        configuration: (address) => {
          asked.push(address);
          return new Promise((resolve) => {
            answers.push(resolve);
          });
        },
      },
      clock: { nowMs: () => nowMs },
      journal: { logDecision: (decision) => decisions.push(decision) },
    });
  });

  afterEach(() => {
    exchange.close();
  });

  // Guards against copies of a large configuration that crowd each other out on the link of a host,
  // because each answer that names a newer version asks for another one.
  it('asks one host at a time', async () => {
    exchange.apply(configuration(1), 'store');
    for (let poll = 0; poll < 40; poll += 1) {
      exchange.learn(2, `host-${poll}`);
      pass(50);
    }
    expect(asked.length).toEqual(1);
    await answer(0, configuration(2));
    exchange.learn(2, 'host-41');
    pass(1000);
    expect([exchange.version, asked.length]).toEqual([2, 1]);
  });

  // Guards against hosts that ask each other for what the platform is bringing all of them.
  it('asks nobody if the platform brings the version in time', () => {
    exchange.apply(configuration(1), 'store');
    exchange.learn(2, 'host-1');
    pass(300);
    exchange.apply(configuration(2), 'store');
    pass(2000);
    expect(asked).toEqual([]);
    expect(exchange.behindMs).toEqual(0);
    expect(decisions.filter((decision) => decision === 'configuration-behind').length).toEqual(1);
  });

  // Guards against a host that stays behind although others go on telling it of the version.
  it('asks the next host that has the version after one that did not answer', async () => {
    exchange.apply(configuration(1), 'store');
    exchange.learn(2, 'host-1');
    pass(600);
    await answer(0, null);
    pass(1000);
    expect(asked).toEqual(['host-1']);
    exchange.learn(2, 'host-2');
    pass(TICK_MS);
    expect(asked).toEqual(['host-1', 'host-2']);
    await answer(1, configuration(2));
    expect(exchange.version).toEqual(2);
  });

  // Guards against a wait for one that the platform does not bring, at a host that can serve nobody.
  it('asks soon while it has no configuration', () => {
    exchange.learn(2, 'host-1');
    pass(250);
    expect(asked).toEqual(['host-1']);
  });

  // Guards against a host that counts as behind for ever after a message without a proper version.
  it('ignores what is not a version', () => {
    exchange.learn(undefined as never, 'host-1');
    exchange.learn(NaN, 'host-1');
    pass(1000);
    expect([asked, exchange.behindMs]).toEqual([[], 0]);
  });

  // Guards against a host that counts as up to date with a version that is older than what it heard.
  it('goes on after it got a version that is newer, but not the newest', async () => {
    exchange.apply(configuration(1), 'store');
    exchange.learn(3, 'host-1');
    pass(600);
    await answer(0, configuration(2));
    expect(exchange.behindMs).toEqual(600);
    exchange.learn(3, 'host-2');
    pass(TICK_MS);
    expect(asked).toEqual(['host-1', 'host-2']);
  });
});

describe('the slots for large replies', () => {
  // Guards against a host whose link is filled with copies for others, and against slots that are
  // held for ever by a receiver that has stopped reading.
  it('are limited, and free again when they are returned or held too long', () => {
    const slots = new TransferSlots(2, 100);
    const release = slots.take(0);
    expect(slots.take(10)).not.toEqual(null);
    expect(slots.take(20)).toEqual(null);
    release?.();
    release?.();
    expect(slots.take(30)).not.toEqual(null);
    expect(slots.take(40)).toEqual(null);
    expect(slots.take(110)).not.toEqual(null);
    expect(slots.take(120)).toEqual(null);
  });
});
