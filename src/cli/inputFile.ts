/** Reads the files that commands are given. */
import { readFile } from 'node:fs/promises';
import { CommanderError } from 'commander';
import { ExitCode } from './exitCode';

/** Code of the error for a file that can't be read; it is a usage error. */
export const UNREADABLE_FILE = 'wasabiyoke.unreadableFile';

/** Text of a file. Rejects with a CommanderError that has the code `UNREADABLE_FILE`. */
export async function readInput(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (thrown) {
    throw new CommanderError(ExitCode.findings, UNREADABLE_FILE, (thrown as Error).message);
  }
}
