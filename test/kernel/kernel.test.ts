/**
 * Guards against services left open after a failed start, close errors that are not reported, and
 * subscribers that affect each other or the publisher.
 */
import { setImmediate as immediate } from 'node:timers/promises';
import { describe, it } from 'node:test';
import { expect, mockFn } from 'earl';
import { Kernel, ServiceName } from '../../src/kernel';
import type { Service, SubscriberFault } from '../../src/kernel';
import { MAILBOX_LIMIT } from '../../src/kernel/mailbox';

function service(name: ServiceName, calls: string[], failing: readonly string[] = []): Service {
  const step = (verb: string) => async () => {
    calls.push(`${verb} ${name}`);
    if (failing.includes(verb)) throw new Error(`${verb} went wrong`);
  };
  return { name, open: step('open'), close: step('close') };
}

const { store, peers, core } = ServiceName;

describe('Kernel lifecycle', () => {
  it('opens in order, closes once in reverse order and finds values by service name', async () => {
    const calls: string[] = [];
    const kernel = new Kernel();
    const value = { answer: 42 };
    kernel.register(service(store, calls), value);
    kernel.register(service(peers, calls));
    await kernel.open();
    expect(kernel.find<typeof value>(store)).toExactlyEqual(value);
    expect(() => kernel.find(core)).toThrow(
      'no service is registered as "core"; registered: store, peers',
    );
    await Promise.all([kernel.close(), kernel.close()]);
    expect(calls).toEqual(['open store', 'open peers', 'close peers', 'close store']);
    await expect(kernel.open()).toBeRejectedWith('closed');
  });

  it('rejects a duplicate name and a registration after open', async () => {
    const kernel = new Kernel();
    kernel.register(service(store, []));
    expect(() => kernel.register(service(store, []))).toThrow('already registered as "store"');
    await kernel.open();
    expect(() => kernel.register(service(core, []))).toThrow('before the kernel opens');
    await kernel.close();
  });

  it('closes the open services when another fails to open, and reports all errors', async () => {
    const calls: string[] = [];
    const kernel = new Kernel();
    kernel.register(service(store, calls, ['close']));
    kernel.register(service(peers, calls, ['open']));
    kernel.register(service(core, calls));
    await expect(kernel.open()).toBeRejectedWith(
      AggregateError,
      'the kernel failed to open: service "peers" failed to open: open went wrong; ' +
        'service "store" failed to close: close went wrong',
    );
    expect(calls).toEqual(['open store', 'open peers', 'close store']);
    await kernel.close();
    expect(calls.length).toEqual(3);
  });

  it('closes every service even if several fail, and reports all errors together', async () => {
    const calls: string[] = [];
    const kernel = new Kernel();
    [store, peers, core].forEach((name) => {
      kernel.register(service(name, calls, name === core ? [] : ['close']));
    });
    await kernel.open();
    const error = await kernel.close().catch((thrown: unknown) => thrown);
    expect((error as AggregateError).errors.map((item) => (item as Error).message)).toEqual([
      'service "peers" failed to close: close went wrong',
      'service "store" failed to close: close went wrong',
    ]);
    expect(calls.slice(3)).toEqual(['close core', 'close peers', 'close store']);
  });

  it('waits for the service being opened when closed during open, and opens no other', async () => {
    const calls: string[] = [];
    const kernel = new Kernel();
    const slow = service(store, calls);
    let closing: Promise<void> | undefined;
    kernel.register({
      ...slow,
      open: () => {
        closing = kernel.close();
        return slow.open();
      },
    });
    kernel.register(service(peers, calls));
    await expect(kernel.open()).toBeRejectedWith('kernel is closing');
    await closing;
    expect(calls).toEqual(['open store', 'close store']);
  });
});

async function waitForTurns(count: number): Promise<void> {
  await immediate();
  if (count > 1) await waitForTurns(count - 1);
}

describe('service events', () => {
  it('isolates the publisher and other subscribers from a throwing and a hanging one', async () => {
    const faults: SubscriberFault[] = [];
    const kernel = new Kernel((fault) => faults.push(fault));
    const seen: string[] = [];
    kernel.subscribe('drainBegun', 'thrower', () => {
      throw new Error('no');
    });
    kernel.subscribe('drainBegun', 'hanging', () => new Promise(() => {}));
    kernel.subscribe('drainBegun', 'good', async ({ reason }) => {
      seen.push(reason);
    });
    kernel.publish('drainBegun', { reason: 'a' });
    kernel.publish('drainBegun', { reason: 'b' });
    expect(seen).toEqual([]);
    await waitForTurns(8);
    expect(seen).toEqual(['a', 'b']);
    expect(faults.map(({ subscriber, error }) => `${subscriber}: ${error.message}`)).toEqual([
      'thrower: no',
      'thrower: no',
    ]);
    await kernel.close();
  });

  it('drops and reports events beyond the mailbox limit of a hanging subscriber', async () => {
    const faults: SubscriberFault[] = [];
    const kernel = new Kernel((fault) => faults.push(fault));
    kernel.subscribe('drainBegun', 'hanging', () => new Promise(() => {}));
    Array.from({ length: MAILBOX_LIMIT + 2 }).forEach((_, index) => {
      kernel.publish('drainBegun', { reason: String(index) });
    });
    expect(faults.length).toEqual(2);
    await kernel.close();
  });

  it('delivers nothing after a subscription or the kernel has closed', async () => {
    const kernel = new Kernel();
    const subscriber = mockFn((): void => undefined);
    const subscription = kernel.subscribe('drainBegun', 'first', subscriber);
    subscription.close();
    kernel.subscribe('drainBegun', 'second', subscriber);
    kernel.publish('membersChanged', []);
    await kernel.close();
    kernel.publish('drainBegun', { reason: 'late' });
    await waitForTurns(4);
    expect(subscriber).not.toHaveBeenCalled();
    expect(() => kernel.subscribe('drainBegun', 'third', subscriber)).toThrow('closed');
  });
});
