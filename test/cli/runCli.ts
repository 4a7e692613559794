/** Runs command lines against a context that records what they print and their exit code. */
import { createServer } from 'node:http';
import type { RequestListener } from 'node:http';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import type { ProgramContext } from '../../src/cli';
import { runProgram } from '../../src/cli';
import { OperatorApi } from '../../src/host/operatorApi';
import type { OperatorService } from '../../src/host/operatorService';
import { Recorder } from '../../src/observe';
import { fakeService } from './fakeOperatorService';

const HOST = '127.0.0.1';

export interface CliRun {
  readonly code: number | null;
  readonly out: string;
  readonly progress: string;
}

/** Runs one command line; time passes only while the command sleeps. */
export async function runCli(
  args: readonly string[],
  overrides: Partial<ProgramContext> = {},
): Promise<CliRun> {
  const out: string[] = [];
  const progress: string[] = [];
  let nowMs = 0;
  let code: number | null = null;
  await runProgram(
    {
      run: async () => {},
      demo: async () => {},
      standins: async () => {},
      load: async () => {},
      checkConfiguration: () => [],
      terminal: { out: (text) => out.push(text), progress: (text) => progress.push(text) },
      timer: {
        nowMs: () => nowMs,
        sleep: async (ms) => {
          nowMs += ms;
        },
      },
      user: 'eleni',
      exit: (exitCode) => {
        code = exitCode;
      },
      ...overrides,
    },
    args,
  );
  return { code, out: out.join('\n'), progress: progress.join('\n') };
}

/** Serves an operator API for the duration of `use`. */
export async function withHost(
  overrides: Partial<OperatorService>,
  use: (address: string) => Promise<void>,
): Promise<void> {
  const api = new OperatorApi(fakeService(overrides), new Recorder());
  const port = await api.open(HOST, 0);
  try {
    await use(`${HOST}:${port}`);
  } finally {
    await api.close();
  }
}

/** Serves any HTTP answers for the duration of `use`. */
export async function withServer(
  listener: RequestListener,
  use: (address: string) => Promise<void>,
): Promise<void> {
  const server = createServer(listener);
  server.listen(0, HOST);
  await once(server, 'listening');
  try {
    await use(`${HOST}:${(server.address() as AddressInfo).port}`);
  } finally {
    server.closeAllConnections();
    server.close();
    await once(server, 'close');
  }
}

/** An address where nothing listens any more. */
export async function unusedAddress(): Promise<string> {
  let address = '';
  await withServer(
    () => {},
    async (bound) => {
      address = bound;
    },
  );
  return address;
}
