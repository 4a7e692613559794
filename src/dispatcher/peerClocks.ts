/**
 * Tells how long ago a message was sent. Hosts share no clock, and the network may hold a message for
 * seconds and deliver it then, so a message carries the time of its sending on its receiver's clocks, as
 * the sender estimates them.
 *
 * Two clocks are read, since each alone can hide time. The steady clock does not count the time in which
 * a machine is suspended; the time of day may be stepped back. A message is as old as the older of both
 * says.
 */
import type { Clock } from '../core/clock';

/** Clocks of this machine; `nowMs` is the steady one. */
export interface HostClock extends Clock {
  timeOfDayMs(): number;
}

/** Both clocks of one process at one moment. */
export interface ClockReading {
  readonly steadyMs: number;
  readonly dayMs: number;
}

/** Time of sending, on the clocks of the process that the message is meant for. */
export interface SendTime extends ClockReading {
  /** That process; the steady clock of another one means nothing. */
  readonly incarnation: string;
}

/** Reads both clocks. */
export function readClocks(clock: HostClock): ClockReading {
  return { steadyMs: clock.nowMs(), dayMs: clock.timeOfDayMs() };
}

/** Age of a message at its receiver. Infinite if it is meant for another process. */
export function ageMs(sentAt: SendTime, incarnation: string, now: ClockReading): number {
  if (sentAt.incarnation !== incarnation) return Infinity;
  return Math.max(now.steadyMs - sentAt.steadyMs, now.dayMs - sentAt.dayMs);
}

/**
 * Time of sending of the second copy of a message: never earlier than that of the first, so that the
 * first is too old wherever the second is.
 */
export function laterOf(
  first: SendTime | undefined,
  second: SendTime | undefined,
): SendTime | undefined {
  if (!first || !second) return second ?? first;
  if (first.incarnation !== second.incarnation) return second;
  return {
    incarnation: second.incarnation,
    steadyMs: Math.max(first.steadyMs, second.steadyMs),
    dayMs: Math.max(first.dayMs, second.dayMs),
  };
}

/** Answers of this age still count, on the steady clock of this host. */
const KEPT_MS = 3000;

/** By how much the clocks of another process are ahead of ours, as one of its answers tells. */
interface ClockLead extends ClockReading {
  readonly learnedAtMs: number;
}

interface PeerLeads {
  readonly incarnation: string;
  /** In the order in which they were learned. */
  readonly leads: ClockLead[];
}

/** Clocks of other hosts, by address, from the last answers of each. */
export class PeerClocks {
  readonly #clock: HostClock;

  readonly #peers = new Map<string, PeerLeads>();

  constructor(clock: HostClock) {
    this.#clock = clock;
  }

  /** Takes what a process has told of its clocks; hosts of an earlier version tell nothing. */
  note(address: string, incarnation: string, reading: ClockReading | undefined): void {
    if (!reading) {
      this.#peers.delete(address);
      return;
    }
    const known = this.#peers.get(address);
    const arrivedAt = readClocks(this.#clock);
    const leads = known?.incarnation === incarnation ? known.leads : [];
    leads.push({
      steadyMs: reading.steadyMs - arrivedAt.steadyMs,
      dayMs: reading.dayMs - arrivedAt.dayMs,
      learnedAtMs: arrivedAt.steadyMs,
    });
    while ((leads[0]?.learnedAtMs ?? Infinity) < arrivedAt.steadyMs - KEPT_MS) leads.shift();
    this.#peers.set(address, { incarnation, leads });
  }

  /**
   * The present moment on the clocks of the process that answered last at an address; undefined if it is
   * not known. Each answer was on the way for some time, or waited to be read, so that its clocks seem
   * less far ahead than they are. The largest lead of the last answers is the closest, and never too
   * large, so that no message seems younger than it is. A clock that has just stopped or was set back
   * makes its lead too large for a while; the other clock tells the age then.
   */
  sendTime(address: string): SendTime | undefined {
    const known = this.#peers.get(address);
    if (!known) return undefined;
    const { incarnation, leads } = known;
    const now = readClocks(this.#clock);
    return {
      incarnation,
      steadyMs: now.steadyMs + Math.max(...leads.map(({ steadyMs }) => steadyMs)),
      dayMs: now.dayMs + Math.max(...leads.map(({ dayMs }) => dayMs)),
    };
  }
}
