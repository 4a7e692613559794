/** Runs a case, and tells by the exit code whether the rule held. */
import { Site, type SiteShape } from './site';

/** What a case does. */
export interface CaseScript {
  readonly shape: SiteShape;
  /** Plays the case, with or without the disruption; returns how the rule was broken. */
  play(site: Site, hasTrouble: boolean): Promise<readonly string[]>;
}

/** Node itself ends with 1 if a script fails, so a broken rule has another code. */
const ExitCode = { held: 0, broken: 10, notRun: 2 } as const;
const TIME_LIMIT_MS = 115_000;

/** Ends all processes of the case early, on a signal, an error or the time limit. */
async function giveUp(site: Site, recordFile: string, reason: string): Promise<void> {
  site.record.write('not-run', { reason });
  await site.close().catch(() => {});
  await site.record.save(recordFile);
  process.exit(ExitCode.notRun); // eslint-disable-line n/no-process-exit
}

async function playCase(script: CaseScript, recordFile: string): Promise<number> {
  const site = new Site(script.shape);
  const hasTrouble = process.env.TROUBLE !== '0';
  const stop = (reason: string) => giveUp(site, recordFile, reason);
  const timer = setTimeout(() => stop('time limit'), TIME_LIMIT_MS);
  process.once('SIGTERM', () => stop('SIGTERM'));
  process.once('SIGINT', () => stop('SIGINT'));
  process.once('uncaughtException', (error) => stop(String(error)));
  let exitCode: number;
  try {
    await site.open();
    const broken = await script.play(site, hasTrouble);
    broken.forEach((line) => site.record.write('rule-broken', { line }));
    process.stdout.write(broken.length === 0 ? 'held\n' : `broken:\n${broken.join('\n')}\n`);
    exitCode = broken.length === 0 ? ExitCode.held : ExitCode.broken;
  } catch (error) {
    site.record.write('not-run', { reason: String(error) });
    process.stdout.write(`not run: ${String(error)}\n`);
    exitCode = ExitCode.notRun;
  }
  clearTimeout(timer);
  await site.close();
  await site.record.save(recordFile);
  return exitCode;
}

/** Runs a case; the first argument names the file for its record. */
export function runCase(script: CaseScript): void {
  const recordFile = process.argv[2] ?? 'record.txt';
  playCase(script, recordFile).then(
    (exitCode) => process.exit(exitCode), // eslint-disable-line n/no-process-exit
    () => process.exit(ExitCode.notRun), // eslint-disable-line n/no-process-exit
  );
}
