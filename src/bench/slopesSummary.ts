/** Load summaries as a real scheduler of 165 workers sends them: samples, and bytes a second. */
import { TICK_MS, type CoreAction } from '../core/events';
import type { LoadSummary } from '../core/messages';
import { encodeMessage } from '../peers';
import { SLOTS, TEAMS } from './slopesFleet';
import { SchedulerDrive } from './slopesScheduler';

const WORKERS = 165;
const HOSTS = 9;
const BUSY = Math.floor(WORKERS * SLOTS * 0.7);
/** More than any period of summaries. */
const LATER_MS = 300;
const QUEUED_PER_TEAM = 3;
const MEASURE_MS = 20_000;

function summaryAt(requests: number): LoadSummary {
  let last: LoadSummary | null = null;
  const observe = (action: CoreAction): void => {
    if (action.type !== 'send') return;
    action.messages.forEach((message) => {
      if (message.type === 'loadSummary') last = message;
    });
  };
  const drive = new SchedulerDrive(WORKERS, HOSTS, observe);
  for (let left = requests; left > 0; left -= 1) drive.request(1, true);
  drive.nowMs += LATER_MS;
  drive.handle({ type: 'tick' });
  if (last === null) throw new Error('the scheduler sent no summary');
  return last;
}

/** Summaries by the load of the domain; in the last one, all teams wait. */
export const SUMMARIES = {
  idle: summaryAt(0),
  busy: summaryAt(BUSY),
  flooded: summaryAt(WORKERS * SLOTS + TEAMS * QUEUED_PER_TEAM),
};

/** What one host receives from the scheduler of one domain in a second. */
export interface SummaryRate {
  readonly bytesPerS: number;
  readonly messagesPerS: number;
}

/**
 * Rate of the summaries at a load that does not change: 70 % of the slots in use, or all of them with
 * tasks of all teams waiting. A load that changes can make them more frequent at few hosts.
 */
export function summaryRate(hosts: number, flooded: boolean): SummaryRate {
  let bytes = 0;
  let messages = 0;
  const drive = new SchedulerDrive(WORKERS, hosts, (action) => {
    if (action.type !== 'send') return;
    action.messages.forEach((message) => {
      if (message.type !== 'loadSummary') return;
      bytes += encodeMessage(message).length;
      messages += 1;
    });
  });
  const base = flooded ? WORKERS * SLOTS + TEAMS * QUEUED_PER_TEAM : BUSY;
  for (let left = base; left > 0; left -= 1) drive.request(1, true);
  [bytes, messages] = [0, 0];
  for (let tick = 0; tick < MEASURE_MS / TICK_MS; tick += 1) {
    drive.nowMs += TICK_MS;
    drive.handle({ type: 'tick' });
  }
  // The scheduler sends the same to all others.
  const receivers = (hosts - 1) * (MEASURE_MS / 1000);
  return { bytesPerS: bytes / receivers, messagesPerS: messages / receivers };
}
