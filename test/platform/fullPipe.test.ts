/** Guards against a dispatcher that blocks on a full stdout pipe when nobody reads its log. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'earl';
import { Pool, request } from 'undici';
import { PortBlock } from '../../src/standins/portBlock';
import { configurationText, until } from './deployment';
import { jobIdOf, jobRequest } from './jobRequest';
import { KvStandin } from './kvStandin';
import { settingsText } from './processSettings';

const LINES_PER_SECOND = 100_000;
const JOB_COUNT = 3000;
const MAX_CONNECTIONS = 30;
/** Far more than the buffer of a pipe holds. */
const MIN_OUTPUT_CHARACTERS = 500_000;
const START_TIMEOUT_MS = 20_000;
const RESPONSE_TIMEOUT_MS = 2000;

/** Submits a job that is refused, as it requires storage; returns the status code. */
async function submit(pool: Pool, number: number): Promise<number> {
  const id = jobIdOf(number);
  const extra = { bestEffort: false };
  const response = await pool.request(
    jobRequest({ id, payload: '5', tasks: 1, deadlineMs: RESPONSE_TIMEOUT_MS, extra }),
  );
  await response.body.dump();
  return response.statusCode;
}

/** Waits until the host answers a submission with 503, as for a job that requires storage. */
async function waitUntilServing(url: string, limitMs: number): Promise<void> {
  const pool = new Pool(url);
  const status = await submit(pool, 0).catch(() => null);
  await pool.destroy();
  if (status === 503) return;
  if (limitMs <= 0) throw new Error('timed out waiting for the host to start');
  await sleep(100);
  await waitUntilServing(url, limitMs - 100);
}

describe('a process whose log is not read', () => {
  const store = new KvStandin();
  let folder = '';
  let portBlock: PortBlock | null = null;
  let child: ChildProcess | null = null;

  before(async () => {
    const storeAddress = await store.open();
    store.put('op/config', configurationText(1));
    portBlock = await PortBlock.reserve(4);
    folder = await mkdtemp(join(tmpdir(), 'wasabiyoke-'));
    const file = join(folder, 'settings.ini');
    await writeFile(
      file,
      settingsText({ ports: portBlock.ports, storeAddress, linesPerSecond: LINES_PER_SECOND }),
    );
    child = spawn(process.execPath, ['--import', 'tsx', 'platform/main.ts'], {
      env: { ...process.env, WASABIYOKE_BOOT: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    await waitUntilServing(`http://127.0.0.1:${portBlock.ports[0]}`, START_TIMEOUT_MS);
  });

  after(async () => {
    child?.kill('SIGKILL');
    store.close();
    await portBlock?.release();
    await rm(folder, { recursive: true });
  });

  it('answers every request, and logs each once the pipe is read again', async () => {
    const [callers, , , metrics] = portBlock?.ports ?? [];
    const pool = new Pool(`http://127.0.0.1:${callers}`, { connections: MAX_CONNECTIONS });
    const numbers = Array.from({ length: JOB_COUNT }, (_, index) => index + 1);
    const statuses = await Promise.all(numbers.map((number) => submit(pool, number)));
    await pool.destroy();
    expect(statuses.filter((status) => status !== 503)).toEqual([]);
    const scraped = await request(`http://127.0.0.1:${metrics}/metrics`, {
      headersTimeout: RESPONSE_TIMEOUT_MS,
    });
    expect(scraped.statusCode).toEqual(200);
    await scraped.body.dump();
    let output = '';
    child?.stdout?.on('data', (chunk: Buffer) => {
      output += chunk.toString('utf8');
    });
    const isWritten = (number: number) => output.includes(jobIdOf(number));
    await until('the line of the last job', () => isWritten(JOB_COUNT));
    expect(output.length).toBeGreaterThan(MIN_OUTPUT_CHARACTERS);
    expect(numbers.filter((number) => !isWritten(number))).toEqual([]);
  });

  it('exits on SIGTERM', async () => {
    const ended = once(child as ChildProcess, 'exit');
    child?.kill('SIGTERM');
    expect((await ended)[0]).toEqual(0);
  });
});
