/** Ages of messages between hosts that share no clock: no message may appear younger than it is. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import {
  ageMs,
  laterSendTime,
  PeerClocks,
  readClocks,
} from '../../src/dispatcher/peers/peerClocks';
import { FakeMachineClock } from './machineClock';

const ADDRESS = '10.0.0.2:1';
const HOUR_MS = 3_600_000;

/** A receiver and a sender whose clocks differ, after one response with a transit time of 30 ms. */
function pairOf() {
  const receiver = new FakeMachineClock(5 * HOUR_MS, 400 * HOUR_MS, () => 0);
  const sender = new FakeMachineClock(7, 401 * HOUR_MS, () => 0);
  const clocks = new PeerClocks(sender);
  const pass = (durationMs: number) => [receiver, sender].forEach((one) => one.advance(durationMs));
  const reading = readClocks(receiver);
  pass(30);
  clocks.recordReading(ADDRESS, '1', reading);
  const age = (sentAt = clocks.sendTime(ADDRESS)) =>
    sentAt ? ageMs(sentAt, '1', readClocks(receiver)) : null;
  return { receiver, sender, clocks, pass, age };
}

describe('the age of a message', () => {
  // Guards against a message that appears younger than it is.
  it('includes its transit time and that of the preceding response', () => {
    const { clocks, pass, age } = pairOf();
    pass(1000);
    const sentAt = clocks.sendTime(ADDRESS);
    pass(250);
    expect(age(sentAt)).toEqual(280);
  });

  // Guards against a message that appears fresh after its receiver was suspended.
  it('includes the time in which its receiver was suspended', () => {
    const { receiver, sender, clocks, age } = pairOf();
    const sentAt = clocks.sendTime(ADDRESS);
    receiver.suspend(3000);
    sender.advance(3000);
    expect(age(sentAt)).toEqual(3030);
  });

  // Guards against a step back of the time of day that hides the transit time.
  it('includes its transit time although the time of day of its receiver is set back', () => {
    const { receiver, clocks, pass, age } = pairOf();
    const sentAt = clocks.sendTime(ADDRESS);
    pass(500);
    receiver.stepTimeOfDay(-HOUR_MS);
    expect(age(sentAt)).toEqual(530);
  });

  // Guards against a send time ahead of the receiver's clock, which would hide transit time.
  it('is never too small after its sender was suspended', () => {
    const { receiver, sender, age } = pairOf();
    receiver.advance(3000);
    sender.suspend(3000);
    expect(age()).toEqual(3030);
  });

  // Guards against batches refused because a response waited to be read on a busy host.
  it('does not include the delay of a response if a faster one came shortly before', () => {
    const { receiver, clocks, pass, age } = pairOf();
    const reading = readClocks(receiver);
    pass(500);
    clocks.recordReading(ADDRESS, '1', reading);
    expect(age()).toEqual(30);
  });

  // Guards against an offset from a response so old that the clocks may have drifted since.
  it('includes the delay of a response if no other came for seconds', () => {
    const { receiver, clocks, pass, age } = pairOf();
    pass(3000);
    const reading = readClocks(receiver);
    pass(500);
    clocks.recordReading(ADDRESS, '1', reading);
    expect(age()).toEqual(500);
  });

  // Guards against a message that appears fresh after a suspension between two responses.
  it('includes a suspension of its receiver between two responses', () => {
    const { receiver, sender, clocks, age } = pairOf();
    clocks.recordReading(ADDRESS, '1', readClocks(receiver));
    const sentAt = clocks.sendTime(ADDRESS);
    receiver.suspend(2000);
    sender.advance(2000);
    clocks.recordReading(ADDRESS, '1', readClocks(receiver));
    expect(age(sentAt)).toEqual(2000);
    expect(age()).toEqual(0);
  });

  // Guards against endless refusals after a step of the time of day.
  it('is small again after the next response', () => {
    const { receiver, clocks, age } = pairOf();
    receiver.stepTimeOfDay(HOUR_MS);
    expect(age()).toEqual(HOUR_MS + 30);
    clocks.recordReading(ADDRESS, '1', readClocks(receiver));
    expect(age()).toEqual(0);
  });

  // Guards against ages from the steady clock of an earlier process, which has another origin.
  it('is infinite at a process that the message is not addressed to', () => {
    const { receiver, clocks } = pairOf();
    const sentAt = clocks.sendTime(ADDRESS);
    expect(sentAt && ageMs(sentAt, '2', readClocks(receiver))).toEqual(Infinity);
  });

  it('is unknown before the first response, and for a host that sends no clock readings', () => {
    const { clocks } = pairOf();
    expect(clocks.sendTime('10.0.0.3:1')).toEqual(undefined);
    clocks.recordReading(ADDRESS, '1', undefined);
    expect(clocks.sendTime(ADDRESS)).toEqual(undefined);
  });
});

describe('the send time of a message that is sent twice', () => {
  const time = (steadyMs: number, dayMs: number, incarnation = '1') => ({
    incarnation,
    steadyMs,
    dayMs,
  });

  // Guards against a first copy that is accepted after the second was refused as too old.
  it('is never earlier than that of the first copy', () => {
    expect(laterSendTime(time(10, 200), time(20, 100))).toEqual(time(20, 200));
    expect(laterSendTime(undefined, time(20, 100))).toEqual(time(20, 100));
    expect(laterSendTime(time(10, 200), time(5, 100, '2'))).toEqual(time(5, 100, '2'));
  });

  it('is that of the first copy if the clocks are no longer known', () => {
    expect(laterSendTime(time(10, 200), undefined)).toEqual(time(10, 200));
  });
});
