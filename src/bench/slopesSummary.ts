/** Load summaries as a real scheduler of 165 workers sends them, at three loads. */
import type { CoreAction } from '../core/events';
import type { LoadSummary } from '../core/messages';
import { SLOTS, TEAMS } from './slopesFleet';
import { SchedulerDrive } from './slopesScheduler';

const WORKERS = 165;
const HOSTS = 9;
/** More than any period of summaries. */
const LATER_MS = 300;
const QUEUED_PER_TEAM = 3;

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
  busy: summaryAt(Math.floor(WORKERS * SLOTS * 0.7)),
  flooded: summaryAt(WORKERS * SLOTS + TEAMS * QUEUED_PER_TEAM),
};
