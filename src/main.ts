/** Entry point of the program: joins the command line with what it can run. */
import { userInfo } from 'node:os';
import { runProgram, STANDARD_TERMINAL, type ProgramContext } from './cli';
import { runDemo } from './cli/demo';
import { runLoad } from './cli/loadCommand';
import { runStandins } from './cli/standinsCommand';
import { parseConfiguration } from './configuration';
import { EntryHost } from './host/entryHost';
import type { Settings } from './settings';

/** Runs one entry host until a signal has drained it. */
async function runHost(settings: Settings): Promise<void> {
  const host = new EntryHost(settings);
  await host.open();
  await new Promise<void>((resolve, reject) => {
    const drain = () => {
      host.drain().then(resolve, reject);
    };
    process.once('SIGTERM', drain);
    process.once('SIGINT', drain);
    host.onDrained(resolve);
  });
}

/** A reader such as `head` may close the pipe early; what is left to print is then dropped. */
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
});

const context: ProgramContext = {
  run: runHost,
  demo: runDemo,
  standins: runStandins,
  load: runLoad,
  checkConfiguration: (file, text) => {
    const parsed = parseConfiguration(file, text);
    return parsed.ok ? [] : parsed.val;
  },
  terminal: STANDARD_TERMINAL,
  timer: {
    nowMs: () => performance.now(),
    sleep: (delayMs) =>
      new Promise((resolve) => {
        setTimeout(resolve, delayMs);
      }),
  },
  user: userInfo().username,
  exit: (code) => {
    process.exitCode = code;
  },
};

runProgram(context, process.argv.slice(2));
