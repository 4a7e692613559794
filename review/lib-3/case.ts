/**
 * Frame of a case: its folder is the first argument, its record is `record.txt` there, and its exit
 * status tells whether the rule held. With `TROUBLE=0` it leaves the disruption out.
 */
import { join } from 'node:path';
import { CaseRecord } from './record';

/** Exit status of a case. */
export const Outcome = {
  held: 0,
  broken: 1,
  /** The case could not be run. */
  failed: 2,
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** What a case gets. */
export interface CaseContext {
  readonly record: CaseRecord;
  /** False if the disruption is left out. */
  readonly hasTrouble: boolean;
  /** Registers a clean-up, which is made at the end in any case. */
  onEnd(cleanUp: () => Promise<void>): void;
}

const TIME_LIMIT_MS = 110_000;

async function runCase(
  run: (context: CaseContext) => Promise<Outcome>,
  folder: string,
): Promise<Outcome> {
  const record = new CaseRecord(join(folder, 'record.txt'));
  const cleanUps: (() => Promise<void>)[] = [];
  const hasTrouble = process.env.TROUBLE !== '0';
  record.add('case', 'begins', { hasTrouble });
  let timer: NodeJS.Timeout | null = null;
  const limit = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error('time limit')), TIME_LIMIT_MS);
    process.once('SIGTERM', () => reject(new Error('SIGTERM')));
  });
  let outcome: Outcome = Outcome.failed;
  try {
    const context = {
      record,
      hasTrouble,
      onEnd: (cleanUp: () => Promise<void>) => cleanUps.push(cleanUp),
    };
    outcome = await Promise.race([run(context), limit]);
  } catch (thrown) {
    record.add('case', 'could not run', { error: String(thrown) });
    process.stderr.write(`${thrown instanceof Error ? thrown.stack : String(thrown)}\n`);
  } finally {
    if (timer) clearTimeout(timer);
    await Promise.all(cleanUps.map((cleanUp) => cleanUp().catch(() => {})));
  }
  record.add('case', 'ends', { outcome });
  await record.close();
  return outcome;
}

/** Runs a case and ends this process with its outcome. */
export function main(run: (context: CaseContext) => Promise<Outcome>): void {
  runCase(run, process.argv[2] ?? '.').then((outcome) => {
    // Calls of clients that still wait would otherwise keep this process running.
    process.exit(outcome); // eslint-disable-line n/no-process-exit
  });
}
