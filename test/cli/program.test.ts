/** Guards against wrong exit codes, lost findings and wrong reports of what took effect. */
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Ok } from 'ts-results';
import type { LoadOptions } from '../../src/cli';
import type { OperatorService, PublishOutcome } from '../../src/host/operatorService';
import { runCli, unusedAddress, withHost, withServer } from './runCli';

const SAMPLES = join(__dirname, '../../settings/addis');
const SETTINGS = join(SAMPLES, 'bole.ini');
const CONFIGURATION = join(SAMPLES, 'configuration.ini');
const FINDING = {
  file: 'c.ini',
  line: 3,
  section: 'team a',
  key: 'share',
  expected: 'a fraction',
  found: '"2"',
};

describe('command line', () => {
  it('ends with 2 for wrong usage and with 0 for help', async () => {
    const wrong = [
      ['frobnicate'],
      ['status'],
      ['status', '--host', 'localhost:1'],
      ['config', 'publish', CONFIGURATION, '--host', '127.0.0.1:1', '--expect', '-1'],
      ['config', 'check', '/nonexistent/c.ini'],
      ['config', 'check', SAMPLES],
      ['run'],
      ['load', '--hosts', '127.0.0.1:1', '--team', 'a', '--kind', 'b', '--tasks', '0'],
    ];
    const runs = await Promise.all(wrong.map((args) => runCli(args)));
    expect(runs.map(({ code }) => code)).toEqual(wrong.map(() => 2));
    expect(runs.every(({ out, progress }) => out === '' && progress.includes('error:'))).toEqual(
      true,
    );
    const help = await runCli(['--help']);
    expect([help.code, help.out.includes('config')]).toEqual([0, true]);
  });

  it('runs a host with the settings, and reports findings and failures', async () => {
    const ids: string[] = [];
    const started = await runCli(['run', '--settings', SETTINGS], {
      run: async ({ host }) => {
        ids.push(host.id);
      },
    });
    expect([started.code, ids]).toEqual([0, ['bole-1']]);
    const wrong = await runCli(['run', '--settings', CONFIGURATION]);
    expect([wrong.code, wrong.progress.includes('an unknown section')]).toEqual([2, true]);
    const failed = await runCli(['run', '--settings', SETTINGS], {
      run: async () => {
        throw new Error('address in use');
      },
    });
    expect([failed.code, failed.progress]).toEqual([1, 'error: address in use']);
  });

  it('checks settings files', async () => {
    expect((await runCli(['settings', 'check', SETTINGS])).code).toEqual(0);
    const wrong = await runCli(['settings', 'check', '/nonexistent']);
    expect([wrong.code, wrong.progress.includes('expected a readable file')]).toEqual([2, true]);
  });

  it('passes options to demo and load', async () => {
    const seen: unknown[] = [];
    const record = async (options: unknown) => {
      seen.push(options);
    };
    await runCli(['demo', '--seconds', '6'], { demo: record });
    const args = ['--hosts', '127.0.0.1:1', '--hosts', '[::1]:2', '--team', 'a', '--kind', 'b'];
    await runCli(['load', ...args, '--task-ms', '50'], { load: record });
    expect(seen[0]).toEqual({ hosts: 9, workers: 12, seconds: 6 });
    const { hosts, taskMs } = seen[1] as LoadOptions;
    expect([hosts, taskMs]).toEqual([['127.0.0.1:1', '[::1]:2'], 50]);
  });

  it('prints views as tables and as JSON, and ends with 3 if the host is unreachable', async () => {
    const row = { domain: 'bole', team: 'tallies', kind: 'tally', urgency: 6, queuedTasks: 12 };
    const queues = async () => [{ ...row, usedSlots: 3, oldestWaitMs: 40 }];
    await withHost({ queues }, async (host) => {
      const table = await runCli(['queues', '--host', host]);
      expect(table.out.split('\n')).toEqual([
        'domain  team     kind   urgency  queuedTasks  usedSlots  oldestWaitMs',
        'bole    tallies  tally  6        12           3          40',
      ]);
      const json = await runCli(['status', '--host', host, '--json']);
      expect((JSON.parse(json.out) as { hostId: string }).hostId).toEqual('bole-1');
      const empty = await runCli(['workers', '--host', host]);
      expect([empty.code, empty.out]).toEqual([0, '']);
      expect((await runCli(['drain', '--host', host])).code).toEqual(0);
    });
    const unreachable = await runCli(['status', '--host', await unusedAddress()]);
    expect([unreachable.code, unreachable.progress.includes('unreachable')]).toEqual([3, true]);
  });
});

describe('config commands', () => {
  it('check a file here or at a host, with all findings', async () => {
    const context = { checkConfiguration: () => [FINDING] };
    const line = 'c.ini:3: [team a] share: expected a fraction, found "2"';
    const here = await runCli(['config', 'check', CONFIGURATION], context);
    expect([here.code, here.progress]).toEqual([2, line]);
    expect((await runCli(['config', 'check', CONFIGURATION])).code).toEqual(0);
    await withHost({ checkConfiguration: async () => [FINDING] }, async (host) => {
      const there = await runCli(['config', 'check', CONFIGURATION, '--host', host, '--json']);
      expect([there.code, JSON.parse(there.out)]).toEqual([2, { findings: [FINDING] }]);
      expect(there.progress.includes(line)).toEqual(true);
    });
  });

  it('show the configuration, a publication and differences', async () => {
    const view = {
      generation: 4,
      publicationId: 'p4',
      publishedBy: 'sara',
      publishedAtMs: 0,
      text: '[team a]\n',
      history: ['p3', 'p4'],
    };
    const change = { section: 'team a', key: 'share', inForce: '0.1', proposed: null };
    const overrides = {
      configuration: async () => view,
      diffConfiguration: async () => Ok([change]),
    };
    await withHost(overrides, async (host) => {
      const shown = await runCli(['config', 'show', '--host', host]);
      expect([shown.out, shown.progress.includes('published by sara at 1970')]).toEqual([
        '[team a]',
        true,
      ]);
      const known = await runCli(['config', 'show', '--host', host, '--publication', 'p3']);
      const absent = await runCli(['config', 'show', '--host', host, '--publication', 'p9']);
      expect([known.code, absent.code]).toEqual([0, 1]);
      const diff = await runCli(['config', 'diff', CONFIGURATION, '--host', host]);
      expect([diff.code, diff.out]).toEqual([0, '[team a] share: 0.1 -> nothing']);
    });
    await withHost({}, async (host) => {
      expect((await runCli(['config', 'show', '--host', host])).code).toEqual(1);
    });
  });

  it('publish with the exit code of each outcome', async () => {
    const winner = { generation: 6, publicationId: 'p6', publishedBy: 'sara', publishedAtMs: 0 };
    const cases: readonly (readonly [PublishOutcome, number, string])[] = [
      [{ outcome: 'published', generation: 5, publicationId: 'p5' }, 0, 'as generation 5'],
      [{ outcome: 'rejected', findings: [FINDING] }, 2, 'c.ini:3: [team a] share'],
      [{ outcome: 'lostRace', winner }, 4, 'generation 6 was published by sara at 1970'],
      [{ outcome: 'unavailable', detail: 'store down' }, 1, 'store down'],
      [{ outcome: 'unknown', publicationId: 'p7', detail: 'lost' }, 5, '--publication p7'],
    ];
    const requests: unknown[] = [];
    const left = [...cases];
    const publishConfiguration: OperatorService['publishConfiguration'] = async (request) => {
      requests.push([request.file, request.publishedBy, request.expectedGeneration]);
      return left.shift()?.[0] ?? cases[0]![0];
    };
    await withHost({ publishConfiguration }, async (host) => {
      const args = ['config', 'publish', CONFIGURATION, '--host', host];
      await cases.reduce(async (previous, [, code, text]) => {
        await previous;
        const run = await runCli(args);
        expect([run.code, run.progress.includes(text)]).toEqual([code, true]);
      }, Promise.resolve());
      await runCli([...args, '--expect', '4', '--by', 'sara']);
      expect([requests[0], requests[5]]).toEqual([
        ['configuration.ini', 'eleni', undefined],
        ['configuration.ini', 'sara', 4],
      ]);
    });
  });

  it('publish says "unknown" if the connection breaks after sending, else "unreachable"', async () => {
    const args = ['config', 'publish', CONFIGURATION, '--host'];
    await withServer(
      (request) => request.socket.destroy(),
      async (host) => {
        expect((await runCli([...args, host])).code).toEqual(5);
        expect((await runCli(['status', '--host', host])).code).toEqual(3);
      },
    );
    expect((await runCli([...args, await unusedAddress()])).code).toEqual(3);
    await withServer(
      (_, response) => response.writeHead(504).end('{"type":"/problems/timeout"}'),
      async (host) => {
        expect((await runCli([...args, host])).code).toEqual(5);
      },
    );
  });

  it('publish --wait follows the hosts and names those that lag or cannot be reached', async () => {
    const answers = [
      [4, 4],
      [5, 4],
      [5, null],
      [5, 5],
    ];
    let asked = 0;
    let last = 3;
    const inForce: OperatorService['inForce'] = async () => {
      const generations = answers[Math.min(asked, last)] ?? [];
      asked += 1;
      return generations.map((generation, index) => ({
        hostId: `h${index}`,
        domain: 'bole',
        generation,
      }));
    };
    await withHost({ inForce }, async (host) => {
      const args = ['config', 'publish', CONFIGURATION, '--host', host, '--wait'];
      const everywhere = await runCli(args);
      expect([everywhere.code, everywhere.progress.split('\n').slice(1)]).toEqual([
        0,
        [
          'generation 5: in force at 0 of 2 hosts',
          'generation 5: in force at 1 of 2 hosts',
          'generation 5: in force at 2 of 2 hosts',
        ],
      ]);
      last = 2;
      const cut = await runCli([...args, '--json']);
      expect([cut.code, cut.progress.includes('unreachable: h1')]).toEqual([3, true]);
      expect((JSON.parse(cut.out) as { wait: { unreachable: string[] } }).wait.unreachable).toEqual(
        ['h1'],
      );
      last = 1;
      const late = await runCli([...args, '--wait-ms', '300']);
      expect([late.code, late.progress.includes('not yet in force at: h1')]).toEqual([1, true]);
    });
  });
});

describe('job commands', () => {
  const job = join(__dirname, '../../package.json');

  it('submit under an issued key and end with the code of the answer', async () => {
    const answers = [
      [200, { outcome: 'complete', results: [1] }, 0],
      [500, { type: '/problems/job-failed' }, 1],
      [503, { type: '/problems/overloaded', notRun: true }, 1],
      [400, { type: '/problems/invalid-request' }, 2],
      [504, { type: '/problems/outcome-unknown' }, 5],
    ] as const;
    const left = [...answers];
    const keys: unknown[] = [];
    await withServer(
      (request, response) => {
        if (request.url === '/v1/keys') {
          response.end('{"keys":["k.1"],"expiresInMs":1}');
          return;
        }
        keys.push(request.headers['idempotency-key']);
        const [status, body] = left.shift() ?? answers[0];
        response.writeHead(status).end(JSON.stringify(body));
      },
      async (host) => {
        await answers.reduce(async (previous, [, body, code]) => {
          await previous;
          const run = await runCli(['job', 'submit', job, '--host', host]);
          expect([run.code, JSON.parse(run.out)]).toEqual([code, body]);
          expect(run.progress.includes('--key k.1')).toEqual(true);
        }, Promise.resolve());
        await runCli(['job', 'submit', job, '--host', host, '--key', 'mine']);
        expect((await runCli(['job', 'cancel', 'mine', '--host', host])).code).toEqual(0);
        expect(keys).toEqual([...answers.map(() => 'k.1'), 'mine', undefined]);
      },
    );
  });

  it('cancel ends with 0 for the answer of a submission that has been cancelled', async () => {
    await withServer(
      (_, response) => response.writeHead(409).end('{"type":"/problems/cancelled","notRun":true}'),
      async (host) => {
        expect((await runCli(['job', 'cancel', 'k', '--host', host])).code).toEqual(0);
      },
    );
  });

  it('tell a job that never left from one whose answer was lost', async () => {
    const away = await unusedAddress();
    expect((await runCli(['job', 'submit', job, '--host', away])).code).toEqual(3);
    expect((await runCli(['job', 'submit', job, '--host', away, '--key', 'k'])).code).toEqual(3);
    await withServer(
      (request) => request.socket.destroy(),
      async (host) => {
        expect((await runCli(['job', 'submit', job, '--host', host])).code).toEqual(3);
        expect((await runCli(['job', 'submit', job, '--host', host, '--key', 'k'])).code).toEqual(
          5,
        );
        expect((await runCli(['job', 'cancel', 'k', '--host', host])).code).toEqual(5);
      },
    );
    expect((await runCli(['job', 'submit', SETTINGS, '--host', away])).code).toEqual(2);
  });
});
