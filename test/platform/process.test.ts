/** The program as a process: signals, reload of the settings, and exit. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { PortBlock } from '../../src/standins/portBlock';
import { until } from './deployment';
import { KvStandin } from './kvStandin';
import { settingsText } from './processSettings';

describe('the program as a process', () => {
  const store = new KvStandin();
  let folder = '';
  let file = '';
  let portBlock: PortBlock | null = null;
  let child: ChildProcess | null = null;
  let output = '';
  let storeAddress = '';

  before(async () => {
    storeAddress = await store.open();
    portBlock = await PortBlock.reserve(4);
    folder = await mkdtemp(join(tmpdir(), 'wasabiyoke-'));
    file = join(folder, 'settings.ini');
    await writeFile(file, settingsText({ ports: portBlock.ports, storeAddress }));
    child = spawn(process.execPath, ['--import', 'tsx', 'platform/main.ts'], {
      env: { ...process.env, WASABIYOKE_BOOT: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    child.stdout?.on('data', (chunk: Buffer) => {
      output += chunk.toString('utf8');
    });
    await until('the program listens', () => output.includes('"listening"'), 20_000);
  });

  after(async () => {
    if (child?.exitCode === null) child.kill('SIGKILL');
    store.close();
    await portBlock?.release();
    await rm(folder, { recursive: true });
  });

  it('applies changed settings on SIGHUP and keeps running', async () => {
    await writeFile(
      file,
      settingsText({ ports: portBlock?.ports ?? [], storeAddress, drainSeconds: 3 }),
    );
    child?.kill('SIGHUP');
    await until('the settings are in force', () => output.includes('"settings-reloaded"'));
    expect(child?.exitCode).toEqual(null);
  });

  it('keeps the settings in force if the file is invalid, and logs every finding', async () => {
    await writeFile(file, '[host]\nid = front-1\n');
    child?.kill('SIGHUP');
    await until('the findings are logged', () => output.includes('"settings-refused"'));
    expect(output.includes('[workers] lease-ms')).toEqual(true);
    expect(child?.exitCode).toEqual(null);
  });

  it('exits with status 0 after SIGTERM', async () => {
    const ended = once(child as ChildProcess, 'exit');
    child?.kill('SIGTERM');
    expect((await ended)[0]).toEqual(0);
    expect(output.includes('"drained"')).toEqual(true);
  });
});
