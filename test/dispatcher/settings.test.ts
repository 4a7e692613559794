/** Settings of a dispatcher: unknown keys are ignored, and all findings are reported together. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { readDispatcherSettings } from '../../src/dispatcher/settings';

const VALID_SETTINGS = `[host]
id = front-1
domain = bole
domains = bole, piassa
drain-seconds = 6.5
[listen]
callers = 10.0.0.1:8000
readiness = 10.0.0.1:8001
peers = 10.0.0.1:8002
metrics = 10.0.0.1:9464
[store]
address = 10.0.0.9:8000
[workers]
lease-ms = 1000
`;

describe('settings of a dispatcher', () => {
  it('reads a file, with defaults for optional settings', () => {
    const settings = readDispatcherSettings('a.ini', VALID_SETTINGS).unwrap();
    expect(settings.domains).toEqual(['bole', 'piassa']);
    expect(settings.drainMs).toEqual(6500);
    expect(settings.seeds).toEqual([]);
    expect(settings.linesPerSecond).toEqual(400);
    expect(settings.resubmissionMs).toEqual(1300);
  });

  // Guards against leases that lapse between renewals because the resubmission time is too short.
  it('accepts a resubmission time that leaves room for renewals', () => {
    const read = (line: string) =>
      readDispatcherSettings('a.ini', `${VALID_SETTINGS}[callers]\n${line}\n`);
    expect(read('').unwrap().resubmissionMs).toEqual(1300);
    expect(read('resubmission-ms = 2000').unwrap().resubmissionMs).toEqual(2000);
    expect(read('resubmission-ms = 599').err).toEqual(true);
  });

  // Guards against a bound below the age of a list that another host reads, which would leave workers
  // unused although their entries are known.
  it('accepts a time for changed capacities of two seconds and more', () => {
    const read = (line: string) =>
      readDispatcherSettings('host.ini', VALID_SETTINGS.replace('lease-ms', `${line}\nlease-ms`));
    expect(read('').unwrap().capacityNoticeMs).toEqual(3000);
    expect(read('capacity-notice-ms = 5000').unwrap().capacityNoticeMs).toEqual(5000);
    expect(read('capacity-notice-ms = 1999').err).toEqual(true);
  });

  // Guards against a task that is started again while callers may still ask for its failed job.
  it('takes the time for which callers may ask for the state of a job from the settings', () => {
    const read = (line: string) =>
      readDispatcherSettings('a.ini', `${VALID_SETTINGS}[callers]\n${line}\n`);
    expect(read('').unwrap().jobStateMs).toEqual(120_000);
    expect(read('job-state-seconds = 30').unwrap().jobStateMs).toEqual(30_000);
    expect(read('job-state-seconds = 3601').err).toEqual(true);
  });

  // Guards against another policy for deployments whose settings do not name one.
  it('keeps equal shares under overload unless the settings name another policy', () => {
    const read = (line: string) =>
      readDispatcherSettings('a.ini', `${VALID_SETTINGS}[overload]\n${line}\n`);
    expect(read('').unwrap().overloadPolicy).toEqual('equal-shares');
    expect(read('policy = least-cost').unwrap().overloadPolicy).toEqual('least-cost');
    expect(read('policy = cheapest').err).toEqual(true);
  });

  it('accepts cores as a number, or as cores times a fraction', () => {
    const coresOf = (line: string) =>
      readDispatcherSettings('a.ini', VALID_SETTINGS.replace('[host]\n', `[host]\n${line}\n`));
    expect(readDispatcherSettings('a.ini', VALID_SETTINGS).unwrap().cores).toEqual(1);
    expect(coresOf('cores = 0.5').unwrap().cores).toEqual(0.5);
    expect(coresOf('cores = 2 x 0.75').unwrap().cores).toEqual(1.5);
    ['', 'x', '2 x', 'many', '0', '-1', '1 x 1e999'].forEach((value) => {
      expect(coresOf(`cores = ${value}`).err).toEqual(true);
    });
  });

  it('ignores unknown sections and keys', () => {
    const text = `${VALID_SETTINGS}\n[later]\nnew = 1\n`;
    expect(readDispatcherSettings('a.ini', text).ok).toEqual(true);
  });

  it('reports every missing and invalid value with its section and key', () => {
    const text = VALID_SETTINGS.replace('lease-ms = 1000', 'lease-ms = soon').replace(
      'id = front-1\n',
      '',
    );
    const findings = readDispatcherSettings('a.ini', text);
    const places = findings.err ? findings.val.map(({ section, key }) => `${section} ${key}`) : [];
    expect(places).toEqual(['host id', 'workers lease-ms']);
  });
});
