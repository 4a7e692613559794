/** The time since the submitter of a batch last confirmed that it awaits the batch. */
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import type { SubmitterContact } from '../../src/cells/submitterContact';
import { BatchContact } from '../../src/dispatcher/peers/batchContact';
import { readClocks } from '../../src/dispatcher/peers/peerClocks';
import { PeerPath } from '../../src/dispatcher/peers/peerMessages';
import { until } from '../platform/deployment';
import { FakeMachineClock } from './machineClock';
import { STATUS_REQUEST, SUBMITTER } from './peerFixtures';
import { callOf, PeerPair } from './peerPair';

const NEVER = { steadyMs: -Infinity, dayMs: -Infinity };

describe('the contact with a submitter', () => {
  it('is as old as the later of the batch and the last status request', () => {
    const clock = new FakeMachineClock(5000, 900_000, () => 0);
    const calledAt = readClocks(clock);
    let askedAt = NEVER;
    const contact = new BatchContact(clock, calledAt, () => askedAt);
    clock.advance(100);
    expect(contact.silentMs()).toEqual(100);
    askedAt = readClocks(clock);
    clock.advance(30);
    expect(contact.silentMs()).toEqual(30);
  });

  // Guards against leases extended after a suspension, during which the steady clock stops.
  it('ages while the machine is suspended', () => {
    const clock = new FakeMachineClock(5000, 900_000, () => 0);
    const contact = new BatchContact(clock, readClocks(clock), () => NEVER);
    clock.suspend(2000);
    expect(contact.silentMs()).toEqual(2000);
  });

  it('ages although the time of day is set back', () => {
    const clock = new FakeMachineClock(5000, 900_000, () => 0);
    const contact = new BatchContact(clock, readClocks(clock), () => NEVER);
    clock.advance(500);
    clock.stepTimeOfDay(-10_000);
    expect(contact.silentMs()).toEqual(500);
  });
});

describe('the contact between an owner and a submitter on loopback', () => {
  const pair = new PeerPair();
  before(() => pair.open());
  after(() => pair.close());

  /**
   * Sends a batch as a process that no other test uses, and returns the owner's contact with it.
   */
  async function begin(incarnation: string): Promise<SubmitterContact> {
    const call = callOf({ from: { ...SUBMITTER, incarnation }, number: 1 });
    pair.post(PeerPath.batches, call).catch(() => {});
    const { batchId } = call.batch;
    await until('the owner has the batch', () => pair.contacts.has(batchId));
    return pair.contacts.get(batchId) as SubmitterContact;
  }

  it('starts with the batch and is renewed by a status request with awaited calls', async () => {
    const contact = await begin('asks');
    await sleep(200);
    const unheardMs = contact.silentMs();
    const from = { ...SUBMITTER, incarnation: 'asks' };
    await pair.post(PeerPath.status, {
      ...STATUS_REQUEST,
      from,
      awaited: { upTo: 1, numbers: [1] },
    });
    expect(unheardMs).toBeGreaterThanOrEqual(190);
    expect(contact.silentMs()).toBeLessThan(unheardMs);
  });

  // Guards against a batch that, after its withdrawal was lost, is kept by later batches.
  it('is not renewed by other batches, nor by a status request without awaited calls', async () => {
    const contact = await begin('works');
    await sleep(200);
    await begin('works');
    await pair.post(PeerPath.status, {
      ...STATUS_REQUEST,
      from: { ...SUBMITTER, incarnation: 'works' },
    });
    expect(contact.silentMs()).toBeGreaterThanOrEqual(190);
  });
});
