/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { dirname } from 'node:path';
import { Site, type SiteShape } from './site';

/** What a case does. */
export interface CaseScript {
  readonly shape: SiteShape;
  /** Plays the case, with or without the disruption; returns how the rule was broken. */
  play(site: Site, hasTrouble: boolean): Promise<readonly string[]>;
}

const ExitCode = { held: 0, broken: 1, notRun: 2 } as const;
const TIME_LIMIT_MS = 115_000;

async function playCase(script: CaseScript, folder: string): Promise<number> {
  const site = new Site(script.shape);
  const hasTrouble = process.env.TROUBLE !== '0';
  const timer = setTimeout(() => {
    site.record.write('time-limit-exceeded');
    const ended = site.close().then(() => site.record.save(folder));
    ended.finally(() => process.exit(ExitCode.notRun)); // eslint-disable-line n/no-process-exit
  }, TIME_LIMIT_MS);
  let exitCode: number;
  try {
    await site.open();
    const broken = await script.play(site, hasTrouble);
    broken.forEach((line) => site.record.write('rule-broken', { line }));
    process.stdout.write(broken.length === 0 ? 'held\n' : `broken:\n${broken.join('\n')}\n`);
    exitCode = broken.length === 0 ? ExitCode.held : ExitCode.broken;
  } catch (error) {
    site.record.write('not-run', { error: String(error) });
    process.stdout.write(`not run: ${String(error)}\n`);
    exitCode = ExitCode.notRun;
  }
  clearTimeout(timer);
  await site.close();
  await site.record.save(folder);
  return exitCode;
}

/** Runs a case whose record goes into the folder that the first argument names. */
export function runCase(script: CaseScript): void {
  const folder = process.argv[2] ?? dirname(process.argv[1] ?? '.');
  playCase(script, folder).then((exitCode) => process.exit(exitCode)); // eslint-disable-line n/no-process-exit
}
