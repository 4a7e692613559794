/** Ages of messages between hosts that share no clock. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ageMs, laterOf, PeerClocks, readClocks } from '../../src/dispatcher/peerClocks';
import { FakeMachineClock } from './machineClock';

const ADDRESS = '10.0.0.2:1';
const HOUR_MS = 3_600_000;

/** A receiver and a sender whose clocks differ, with an answer that was 30 ms on the way. */
function pairOf() {
  const receiver = new FakeMachineClock(5 * HOUR_MS, 400 * HOUR_MS, () => 0);
  const sender = new FakeMachineClock(7, 401 * HOUR_MS, () => 0);
  const clocks = new PeerClocks(sender);
  const pass = (durationMs: number) => [receiver, sender].forEach((one) => one.advance(durationMs));
  const reading = readClocks(receiver);
  pass(30);
  clocks.note(ADDRESS, '1', reading);
  const age = (sentAt = clocks.sendTime(ADDRESS)) =>
    sentAt ? ageMs(sentAt, '1', readClocks(receiver)) : null;
  return { receiver, sender, clocks, pass, age };
}

describe('the age of a message', () => {
  // Guards against a message that seems younger than it is.
  it('counts the time on the way, and that of the answer before', () => {
    const { clocks, pass, age } = pairOf();
    pass(1000);
    const sentAt = clocks.sendTime(ADDRESS);
    pass(250);
    expect(age(sentAt)).toEqual(280);
  });

  // Guards against a message that seems fresh after its receiver was suspended.
  it('counts the time in which its receiver was suspended', () => {
    const { receiver, sender, clocks, age } = pairOf();
    const sentAt = clocks.sendTime(ADDRESS);
    receiver.suspend(3000);
    sender.advance(3000);
    expect(age(sentAt)).toEqual(3030);
  });

  // Guards against a time of day stepped back that hides the time on the way.
  it('counts the time on the way although the time of day of its receiver is stepped back', () => {
    const { receiver, clocks, pass, age } = pairOf();
    const sentAt = clocks.sendTime(ADDRESS);
    pass(500);
    receiver.stepTimeOfDay(-HOUR_MS);
    expect(age(sentAt)).toEqual(530);
  });

  // Guards against an estimate later than the receiver's clock, which would hide time on the way.
  it('is never too small after its sender was suspended', () => {
    const { receiver, sender, age } = pairOf();
    receiver.advance(3000);
    sender.suspend(3000);
    expect(age()).toEqual(3030);
  });

  // Guards against batches that are refused because an answer waited to be read on a busy host.
  it('does not count the delay of an answer if a quicker one came shortly before', () => {
    const { receiver, clocks, pass, age } = pairOf();
    const reading = readClocks(receiver);
    pass(500);
    clocks.note(ADDRESS, '1', reading);
    expect(age()).toEqual(30);
  });

  // Guards against an estimate from an answer so old that the clocks may have drifted since.
  it('counts the delay of an answer if no other came for seconds', () => {
    const { receiver, clocks, pass, age } = pairOf();
    pass(3000);
    const reading = readClocks(receiver);
    pass(500);
    clocks.note(ADDRESS, '1', reading);
    expect(age()).toEqual(500);
  });

  // Guards against a message that seems fresh after its receiver was suspended between two answers.
  it('counts the time in which its receiver was suspended, also with answers before and after', () => {
    const { receiver, sender, clocks, age } = pairOf();
    clocks.note(ADDRESS, '1', readClocks(receiver));
    const sentAt = clocks.sendTime(ADDRESS);
    receiver.suspend(2000);
    sender.advance(2000);
    clocks.note(ADDRESS, '1', readClocks(receiver));
    expect(age(sentAt)).toEqual(2000);
    expect(age()).toEqual(0);
  });

  // Guards against refusals without end after a step of the time of day.
  it('is small again after the next answer', () => {
    const { receiver, clocks, age } = pairOf();
    receiver.stepTimeOfDay(HOUR_MS);
    expect(age()).toEqual(HOUR_MS + 30);
    clocks.note(ADDRESS, '1', readClocks(receiver));
    expect(age()).toEqual(0);
  });

  // Guards against ages from the steady clock of an earlier process, which began at another moment.
  it('is infinite at a process that the message is not meant for', () => {
    const { receiver, clocks } = pairOf();
    const sentAt = clocks.sendTime(ADDRESS);
    expect(sentAt && ageMs(sentAt, '2', readClocks(receiver))).toEqual(Infinity);
  });

  it('is not known before the first answer, or of a host that does not tell its clocks', () => {
    const { clocks } = pairOf();
    expect(clocks.sendTime('10.0.0.3:1')).toEqual(undefined);
    clocks.note(ADDRESS, '1', undefined);
    expect(clocks.sendTime(ADDRESS)).toEqual(undefined);
  });
});

describe('the time of sending of a message that is sent twice', () => {
  const time = (steadyMs: number, dayMs: number, incarnation = '1') => ({
    incarnation,
    steadyMs,
    dayMs,
  });

  // Guards against a first copy that is taken after the second was refused as too old.
  it('is never earlier than that of the first copy', () => {
    expect(laterOf(time(10, 200), time(20, 100))).toEqual(time(20, 200));
    expect(laterOf(undefined, time(20, 100))).toEqual(time(20, 100));
    expect(laterOf(time(10, 200), time(5, 100, '2'))).toEqual(time(5, 100, '2'));
  });

  it('is that of the first copy if the clocks are not known any more', () => {
    expect(laterOf(time(10, 200), undefined)).toEqual(time(10, 200));
  });
});
