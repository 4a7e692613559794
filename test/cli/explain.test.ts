/** `explain` on logs of a real run over loopback, and on input that is damaged. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { TestDeployment } from '../platform/deployment';
import { runCli } from './runCli';

const ID = '00000000000000aa';
const REFUSED_ID = '00000000000000bb';

describe('explain', () => {
  const deployment = new TestDeployment(['sofia-a']);
  let folder = '';
  let files: string[] = [];

  before(async () => {
    await deployment.open(2, 1);
    await deployment.hosts[0]?.submit(ID, '20', 1);
    await deployment.hosts[1]?.submit(REFUSED_ID, '20', 1, { bestEffort: false });
    folder = await mkdtemp(join(tmpdir(), 'wasabiyoke-'));
    files = deployment.hosts.map((_, index) => join(folder, `host-${index}.log`));
    await Promise.all(
      deployment.hosts.map(({ lines }, index) => {
        const text = lines.map(({ decision, fields }, place) =>
          JSON.stringify({ timeMs: place, host: `host-${index}`, decision, ...fields }),
        );
        return writeFile(files[index] ?? '', `${text.join('\n')}\n`);
      }),
    );
  });

  after(async () => {
    await deployment.close();
    await rm(folder, { recursive: true });
  });

  it('prints the course of a request over all hosts and ends with its cause', async () => {
    const { code, out } = await runCli(['explain', ID, ...files]);
    expect(code).toEqual(0);
    ['job-accepted', 'batch-queued', 'placed', 'run-ended', 'job-answered'].forEach((decision) =>
      expect(out.includes(` ${decision} `)).toEqual(true),
    );
    expect(out.split('\n').at(-1)?.startsWith('cause: completed after')).toEqual(true);
  });

  it('names the reason of a refusal', async () => {
    const { out } = await runCli(['explain', REFUSED_ID, ...files]);
    expect(out.split('\n').at(-1)?.includes('not built')).toEqual(true);
  });

  it('says that an id is not there', async () => {
    const { code, progress } = await runCli(['explain', 'ffffffffffffffff', ...files]);
    expect(code).toEqual(1);
    expect(progress.includes('ffffffffffffffff')).toEqual(true);
  });

  it('passes over cut and foreign lines and counts them', async () => {
    const damaged = join(folder, 'damaged.log');
    await writeFile(damaged, 'hello\n{"timeMs":1,"decision":"pla\n[1]\n');
    const { code, progress } = await runCli(['explain', ID, damaged, ...files]);
    expect(code).toEqual(0);
    expect(progress.includes('3 lines')).toEqual(true);
  });
});
