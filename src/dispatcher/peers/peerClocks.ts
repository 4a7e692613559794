/**
 * Determines the age of messages between hosts. Hosts share no clock, and the network may delay a
 * message for seconds, so each message carries its send time on the receiver's clocks, as estimated
 * by the sender.
 *
 * Two clocks are used, because either alone can miss time: the steady (monotonic) clock does not
 * advance while a machine is suspended, and the time of day may be set back. The age of a message
 * is the larger of the ages on both clocks.
 */
import type { Clock } from '../../core/clock';

/** Clocks of this machine; `nowMs` reads the steady clock. */
export interface HostClock extends Clock {
  timeOfDayMs(): number;
}

/** Readings of both clocks of one process, taken together. */
export interface ClockReading {
  readonly steadyMs: number;
  readonly dayMs: number;
}

/** Send time of a message, on the clocks of the process that it is addressed to. */
export interface SendTime extends ClockReading {
  /** That process. The steady clock of another process has a different origin. */
  readonly incarnation: string;
}

export function readClocks(clock: HostClock): ClockReading {
  return { steadyMs: clock.nowMs(), dayMs: clock.timeOfDayMs() };
}

/** Age of a message at its receiver. Infinite if it is addressed to another process. */
export function ageMs(sentAt: SendTime, incarnation: string, now: ClockReading): number {
  if (sentAt.incarnation !== incarnation) return Infinity;
  return Math.max(now.steadyMs - sentAt.steadyMs, now.dayMs - sentAt.dayMs);
}

/**
 * Send time of the second copy of a message. Never earlier than that of the first copy, so that
 * wherever the second copy is too old, the first one is too.
 */
export function laterSendTime(
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

/** How long an offset from one response is used, on the steady clock of this host. */
const OFFSET_LIFETIME_MS = 3000;

/** How far the clocks of another process are ahead of ours, measured from one of its responses. */
interface ClockOffset extends ClockReading {
  readonly measuredAtMs: number;
}

interface PeerOffsets {
  readonly incarnation: string;
  /** In the order of measurement. */
  readonly offsets: ClockOffset[];
}

/** Estimates the clocks of other hosts, by address, from their latest responses. */
export class PeerClocks {
  readonly #clock: HostClock;

  readonly #peers = new Map<string, PeerOffsets>();

  constructor(clock: HostClock) {
    this.#clock = clock;
  }

  /** Records clock readings from a response; undefined from hosts of earlier versions. */
  recordReading(address: string, incarnation: string, reading: ClockReading | undefined): void {
    if (!reading) {
      this.#peers.delete(address);
      return;
    }
    const known = this.#peers.get(address);
    const arrivedAt = readClocks(this.#clock);
    const offsets = known?.incarnation === incarnation ? known.offsets : [];
    offsets.push({
      steadyMs: reading.steadyMs - arrivedAt.steadyMs,
      dayMs: reading.dayMs - arrivedAt.dayMs,
      measuredAtMs: arrivedAt.steadyMs,
    });
    while ((offsets[0]?.measuredAtMs ?? Infinity) < arrivedAt.steadyMs - OFFSET_LIFETIME_MS)
      offsets.shift();
    this.#peers.set(address, { incarnation, offsets });
  }

  /**
   * The current time on the clocks of the process that last responded from an address; undefined if
   * it is not known. The time that a response spends in transit and in buffers makes its offset too
   * small. So the largest of the recent offsets is the most accurate one, and it is never too
   * large, so that no message appears younger than it is. If a clock has just stopped or was set
   * back, its largest offset is too large for a while; the other clock determines the age then.
   */
  sendTime(address: string): SendTime | undefined {
    const known = this.#peers.get(address);
    if (!known) return undefined;
    const { incarnation, offsets } = known;
    const now = readClocks(this.#clock);
    return {
      incarnation,
      steadyMs: now.steadyMs + Math.max(...offsets.map(({ steadyMs }) => steadyMs)),
      dayMs: now.dayMs + Math.max(...offsets.map(({ dayMs }) => dayMs)),
    };
  }
}
