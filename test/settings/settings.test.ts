/** Guards against invalid settings that are accepted or reported without their location. */
import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { DEFAULT_OPTIONS } from '../../src/core/options';
import {
  checkSettings,
  coreOptions,
  formatFinding,
  loadSettings,
  parseIni,
} from '../../src/settings';

const REQUIRED = `[host]
id = sofia-a-1
service = kiosk-dispatch
region = bg-central
domain = sofia-a
[listen]
callerAddress = 127.0.0.1:7001
operatorAddress = 127.0.0.1:7002
peerAddress = [::1]:7003
[store]
endpoints = 127.0.0.1:7090, 127.0.0.1:7092
[hostList]
url = http://127.0.0.1:7091/
`;

function findingsIn(text: string): readonly string[] {
  const result = checkSettings('s.ini', text);
  return result.ok ? [] : result.val.map(formatFinding);
}

/** Returns the findings in a file with all required keys followed by the given lines. */
function findingsWithRequired(lines: string): readonly string[] {
  return findingsIn(`${REQUIRED}${lines}`).map((line) => line.replace('s.ini:', ''));
}

describe('checkSettings', () => {
  it('applies the defaults to missing optional keys', () => {
    const settings = checkSettings('s.ini', REQUIRED).unwrap();
    expect(coreOptions(settings)).toEqual(DEFAULT_OPTIONS);
    expect(settings.store).toEqual({
      endpoints: ['127.0.0.1:7090', '127.0.0.1:7092'],
      timeoutMs: 1000,
    });
    expect(settings.hostList.url).toEqual('http://127.0.0.1:7091');
    expect(settings.peers.seeds).toEqual([]);
    expect(settings.log).toEqual({ level: 'info', decisions: 1 });
    expect(settings.metrics.statsdAddress).toEqual(null);
  });

  it('accepts guards, numbers, sampling rates and empty optional values', () => {
    const settings = checkSettings(
      's.ini',
      `${REQUIRED}[guards]\nspill = off\n[core]\nreserveFraction = 0.05\n[log]\ndecisions = 0.1\n` +
        '[metrics]\nstatsdAddress =\n[peers]\nseeds =\n',
    ).unwrap();
    expect(settings.guards.spill).toEqual(false);
    expect(settings.guards.health).toEqual(true);
    expect(settings.core.reserveFraction).toEqual(0.05);
    expect(settings.log.decisions).toEqual(0.1);
    expect(settings.metrics.statsdAddress).toEqual(null);
  });

  it('reports every missing key of an empty file', () => {
    expect(findingsIn('').map((line) => line.split(': expected')[0])).toEqual([
      's.ini:0: [host] id',
      's.ini:0: [host] service',
      's.ini:0: [host] region',
      's.ini:0: [host] domain',
      's.ini:0: [listen] callerAddress',
      's.ini:0: [listen] operatorAddress',
      's.ini:0: [listen] peerAddress',
      's.ini:0: [store] endpoints',
      's.ini:0: [hostList] url',
    ]);
  });

  it('reports all findings in line order, with their location and the expected value', () => {
    const text = `top = 1\n${REQUIRED.replace('id = sofia-a-1', 'id = Sofia.A').replace(
      ':7002',
      ':70020',
    )}pollMs = 0\npollMs = 5\n[core]\ntaskLeaseMs = 1.5\ncolour = red\n[extra]\nx = 1\n[guards\n`;
    expect(findingsIn(text)).toEqual([
      's.ini:0: []: expected one of the sections [host], [listen], [peers], [store], [hostList], ' +
        '[caller], [core], [guards], [log], [metrics], found keys before the first section',
      's.ini:3: [host] id: expected a name of up to 63 lower-case letters, digits and inner ' +
        'hyphens, found "Sofia.A"',
      's.ini:9: [listen] operatorAddress: expected an IP number and a port, such as ' +
        '127.0.0.1:7000, found "127.0.0.1:70020"',
      's.ini:15: [hostList] pollMs: expected a whole number from 100 to 86400000, found "0"',
      's.ini:16: [hostList] pollMs: expected a key used once in its section, found a repetition',
      's.ini:18: [core] taskLeaseMs: expected a whole number from 100 to 86400000, found "1.5"',
      's.ini:19: [core] colour: expected one of the keys taskLeaseMs, ' +
        'keyLifetimeMs, answerBytesLimit, summaryPeriodMs, statusPeriodMs, reserveFraction, ' +
        'longTaskMs, longTaskFraction, pauseGapMs, retryFraction, retryBurst, found an unknown key',
      's.ini:20: [extra]: expected one of the sections [host], [listen], [peers], [store], ' +
        '[hostList], [caller], [core], [guards], [log], [metrics], found an unknown section',
      's.ini:22: [extra] [guards: expected key = value, found "[guards"',
    ]);
  });

  it('rejects host names, wildcard peer addresses and malformed addresses', () => {
    const bad = ['localhost:1', '0.0.0.0:7003', '[::]:7003', '127.0.0.1', '127.0.0.1:0', '1.2.3:4'];
    const found = bad.map((address) =>
      findingsIn(REQUIRED.replace('peerAddress = [::1]:7003', `peerAddress = ${address}`)),
    );
    expect(found.map((lines) => lines.length)).toEqual(bad.map(() => 1));
    expect(findingsWithRequired('[peers]\nseeds = 127.0.0.1:1, example.org:2\n').length).toEqual(1);
    const urls = ['ftp://127.0.0.1', 'http://example.org', 'http://u:p@127.0.0.1', 'x'];
    urls.forEach((url) => {
      expect(findingsIn(REQUIRED.replace('http://127.0.0.1:7091/', url)).length).toEqual(1);
    });
  });

  it('rejects duplicate listen addresses and a header timeout above the request timeout', () => {
    expect(findingsIn(REQUIRED.replace(':7002', ':7001'))).toEqual([
      's.ini:8: [listen] operatorAddress: expected an address that no other key of the section ' +
        'has, found "127.0.0.1:7001"',
    ]);
    expect(findingsWithRequired('[caller]\nrequestTimeoutMs = 10\n')).toEqual([
      '14: [caller] headerTimeoutMs: expected at most requestTimeoutMs, which is 10, found nothing',
    ]);
  });

  it('rejects unknown words, lists and keys that the INI library ignores', () => {
    const lines = '[guards]\nspill = yes\n__proto__ = 1\n= 5\nhealth[] = on\n[log]\nlevel = loud\n';
    expect(findingsWithRequired(lines)).toEqual([
      '15: [guards] spill: expected on or off, found "yes"',
      '16: [guards]: expected key = value, found "__proto__ = 1"',
      '17: [guards]: expected key = value, found "= 5"',
      '18: [guards] health: expected a single value, found a list',
      '20: [log] level: expected one of debug, info, warn, error, found "loud"',
    ]);
    expect(findingsWithRequired('[__proto__]\nx = 1\n[constructor]\n').length).toEqual(2);
  });
});

describe('loadSettings', () => {
  it('reports a file that cannot be read', async () => {
    const result = await loadSettings('/nonexistent/settings.ini');
    expect(result.err && result.val.map(({ line, expected }) => [line, expected])).toEqual([
      [0, 'a readable file'],
    ]);
  });

  it('loads the sample files: one domain per file, unique addresses, known seeds', async () => {
    const root = join(__dirname, '../../settings');
    await Promise.all(
      ['chadar', 'addis'].map(async (user) => {
        const files = (await readdir(join(root, user))).filter(
          (file) => file !== 'configuration.ini',
        );
        const loaded = await Promise.all(files.map((file) => loadSettings(join(root, user, file))));
        const all = loaded.map((result) => result.unwrap());
        expect(all.map(({ host }) => `${host.domain}.ini`).sort()).toEqual([...files].sort());
        const addresses = all.flatMap(({ listen }) => Object.values(listen));
        expect(new Set(addresses).size).toEqual(9);
        const peers = new Set(all.map(({ listen }) => listen.peerAddress));
        expect(
          all.flatMap(({ peers: { seeds } }) => seeds).every((seed) => peers.has(seed)),
        ).toEqual(true);
      }),
    );
  });

  it('sample configurations parse, with defined templates and shares up to 1 in all', async () => {
    const root = join(__dirname, '../../settings');
    await Promise.all(
      ['chadar', 'addis'].map(async (user) => {
        const text = await readFile(join(root, user, 'configuration.ini'), 'utf8');
        const { document, findings } = parseIni('configuration.ini', text);
        expect(findings).toEqual([]);
        const teams = [...document.sections.values()].filter(({ name }) => /^team \S+$/.test(name));
        expect(teams.length).toEqual(3);
        teams.forEach(({ values }) => {
          expect(document.sections.has(`template ${values.get('template')?.text}`)).toEqual(true);
        });
        const shares = teams.map(({ values }) => Number(values.get('share')?.text));
        expect(shares.reduce((sum, share) => sum + share, 0)).toBeLessThanOrEqual(1);
      }),
    );
  });
});
