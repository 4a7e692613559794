/** Runs a case, writes its record and ends with the exit code that tells whether the rule held. */
import { CaseRecord } from './record';

/** Exit codes of a case. */
export const Verdict = { held: 0, broken: 1, notRun: 2 } as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** What a case is given: its record, and whether the disruption happens. */
export interface CaseContext {
  readonly record: CaseRecord;
  readonly hasTrouble: boolean;
}

/** Longest time of a run. */
const LIMIT_MS = 115_000;

/** Runs a case; `play` closes all that it has started, also if it throws. */
export async function runCase(play: (context: CaseContext) => Promise<Verdict>): Promise<void> {
  const record = new CaseRecord(process.env.RECORD ?? 'record.txt');
  const hasTrouble = process.env.TROUBLE !== '0';
  const abort = (reason: string) => {
    record.add('not-run', { reason });
    record.close();
    process.exit(Verdict.notRun); // eslint-disable-line n/no-process-exit
  };
  const timer = setTimeout(() => abort('the time is over'), LIMIT_MS);
  process.once('SIGTERM', () => abort('SIGTERM'));
  process.once('SIGINT', () => abort('SIGINT'));
  // Node would exit with 1, which says that the rule was broken.
  process.once('uncaughtException', (error) => abort(error.stack ?? String(error)));
  let verdict: Verdict = Verdict.notRun;
  try {
    record.add('begin', { trouble: hasTrouble });
    verdict = await play({ record, hasTrouble });
  } catch (error) {
    record.add('not-run', { error: error instanceof Error ? error.stack : String(error) });
  }
  clearTimeout(timer);
  record.add('verdict', { code: verdict });
  record.close();
  process.exit(verdict); // eslint-disable-line n/no-process-exit
}
