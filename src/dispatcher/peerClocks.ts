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

interface PeerReading {
  readonly incarnation: string;
  readonly reading: ClockReading;
  /** On the clocks of this host. */
  readonly arrivedAt: ClockReading;
}

/** Clocks of other hosts, by address, from the last answer of each. */
export class PeerClocks {
  readonly #clock: HostClock;

  readonly #readings = new Map<string, PeerReading>();

  constructor(clock: HostClock) {
    this.#clock = clock;
  }

  /** Takes what a process has told of its clocks; hosts of an earlier version tell nothing. */
  note(address: string, incarnation: string, reading: ClockReading | undefined): void {
    if (!reading) {
      this.#readings.delete(address);
      return;
    }
    this.#readings.set(address, { incarnation, reading, arrivedAt: readClocks(this.#clock) });
  }

  /**
   * The present moment on the clocks of the process that answered last at an address; undefined if it is
   * not known. The time that its answer was on the way is left out, so this is never later than what its
   * clocks show, and no message seems younger than it is.
   */
  sendTime(address: string): SendTime | undefined {
    const known = this.#readings.get(address);
    if (!known) return undefined;
    const { incarnation, reading, arrivedAt } = known;
    const now = readClocks(this.#clock);
    return {
      incarnation,
      steadyMs: reading.steadyMs + now.steadyMs - arrivedAt.steadyMs,
      dayMs: reading.dayMs + now.dayMs - arrivedAt.dayMs,
    };
  }
}
