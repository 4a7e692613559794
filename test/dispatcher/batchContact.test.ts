/** When the submitter of a batch counts as last heard. */
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import type { SubmitterContact } from '../../src/cells/submitterContact';
import { BatchContact } from '../../src/dispatcher/batchContact';
import { readClocks } from '../../src/dispatcher/peerClocks';
import { PeerPath } from '../../src/dispatcher/peerMessages';
import { until } from '../platform/deployment';
import { FakeMachineClock } from './machineClock';
import { QUESTION, SUBMITTER } from './peerFixtures';
import { callOf, PeerPair } from './peerPair';

const NEVER = { steadyMs: -Infinity, dayMs: -Infinity };

describe('the contact with a submitter', () => {
  it('is as old as the later of the batch and the last question', () => {
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

  // Guards against leases that are extended after a suspension, which the steady clock does not count.
  it('grows old while the machine is suspended', () => {
    const clock = new FakeMachineClock(5000, 900_000, () => 0);
    const contact = new BatchContact(clock, readClocks(clock), () => NEVER);
    clock.suspend(2000);
    expect(contact.silentMs()).toEqual(2000);
  });

  it('grows old although the time of day is set back', () => {
    const clock = new FakeMachineClock(5000, 900_000, () => 0);
    const contact = new BatchContact(clock, readClocks(clock), () => NEVER);
    clock.advance(500);
    clock.stepTimeOfDay(-10_000);
    expect(contact.silentMs()).toEqual(500);
  });
});

describe('the contact with a submitter of an owner on loopback', () => {
  const pair = new PeerPair();
  before(() => pair.open());
  after(() => pair.close());

  /** Sends a batch as a process that no other test uses; returns the owner's contact with it. */
  async function begin(incarnation: string): Promise<SubmitterContact> {
    const call = callOf({ from: { ...SUBMITTER, incarnation }, number: 1 });
    pair.post(PeerPath.batches, call).catch(() => {});
    const { batchId } = call.batch;
    await until('the owner has the batch', () => pair.contacts.has(batchId));
    return pair.contacts.get(batchId) as SubmitterContact;
  }

  it('begins with the batch and is renewed by a question that says what is awaited', async () => {
    const contact = await begin('asks');
    await sleep(200);
    const unheardMs = contact.silentMs();
    const from = { ...SUBMITTER, incarnation: 'asks' };
    await pair.post(PeerPath.status, { ...QUESTION, from, awaited: { upTo: 1, numbers: [1] } });
    expect(unheardMs).toBeGreaterThanOrEqual(190);
    expect(contact.silentMs()).toBeLessThan(unheardMs);
  });

  // Guards against a batch whose withdrawal was lost and that lives on by later batches of its submitter.
  it('is not renewed by other batches, nor by a question that does not say it', async () => {
    const contact = await begin('works');
    await sleep(200);
    await begin('works');
    await pair.post(PeerPath.status, { ...QUESTION, from: { ...SUBMITTER, incarnation: 'works' } });
    expect(contact.silentMs()).toBeGreaterThanOrEqual(190);
  });
});
