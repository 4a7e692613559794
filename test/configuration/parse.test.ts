/** Guards against configuration errors that are accepted or reported one at a time. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { diffConfigurations, parseConfiguration, toConfiguration } from '../../src/configuration';
import { formatFinding } from '../../src/settings/finding';
import { sampleRecord, sampleText } from './samples';

function findings(text: string): readonly string[] {
  const parsed = parseConfiguration('c.ini', text);
  return parsed.err ? parsed.val.map(formatFinding) : [];
}

describe('parseConfiguration', () => {
  it('merges a team with its template key by key', () => {
    const teams = parseConfiguration('c.ini', sampleText()).unwrap();
    expect(teams.get('kiosk')).toEqual({
      name: 'kiosk',
      template: 'base',
      share: 0.5,
      quotaSlots: 100,
      kinds: new Map([
        ['unlock', { name: 'unlock', urgency: 0, idempotent: true, deadlineMs: 2000 }],
        ['settle', { name: 'settle', urgency: 4, idempotent: false, deadlineMs: 5000 }],
      ]),
    });
  });

  it('reports all errors together, sorted by line', () => {
    const text = `stray = 1
[template base]
colour = red
[template base kind a]
urgency = 10
idempotent = yes
deadlineMs = 1.5
[team T_1]
[queue x]
[team one]
share = 1.2
[team two]
template = missing
share =
quotaSlots = 0
[team three kind b]
[team  two]
[team four]
template = base
share = 0.1
[team four kind c]
urgency = 1
[team four kind  c]
`;
    expect(findings(text)).toEqual([
      'c.ini:0: []: expected [template NAME], [team NAME], or either followed by kind KIND, found an unknown section',
      'c.ini:3: [template base] colour: expected one of quotaSlots, found an unknown key',
      'c.ini:5: [template base kind a] urgency: expected an integer from 0 to 9, found "10"',
      'c.ini:6: [template base kind a] idempotent: expected true or false, found "yes"',
      'c.ini:7: [template base kind a] deadlineMs: expected an integer from 1 to 86400000, found "1.5"',
      'c.ini:8: [team T_1]: expected a name of 1 to 64 characters of a-z, 0-9 and -, found "T_1"',
      'c.ini:9: [queue x]: expected [template NAME], [team NAME], or either followed by kind KIND, found an unknown section',
      'c.ini:10: [team one] template: expected the name of a template, found nothing',
      'c.ini:11: [team one] share: expected a number from 0 to 1, found "1.2"',
      'c.ini:13: [team two] template: expected the name of a [template NAME] section, found missing',
      'c.ini:14: [team two] share: expected a number from 0 to 1, found ""',
      'c.ini:15: [team two] quotaSlots: expected an integer from 1 to 1000000, found "0"',
      'c.ini:16: [team three kind b]: expected a section [team three], found none',
      'c.ini:17: [team  two]: expected [team two] defined once, found a repetition',
      'c.ini:21: [team four kind c] idempotent: expected a value of idempotent, found nothing',
      'c.ini:21: [team four kind c] deadlineMs: expected a value of deadlineMs, found nothing',
      'c.ini:23: [team four kind  c]: expected [team four kind c] defined once, found a repetition',
    ]);
  });

  it('accepts shares that sum to 1 and rejects a larger sum', () => {
    const base = sampleText(0.1);
    const more = (share: number) => `${base}[team b]\ntemplate=base\nshare=0.2\n[team c]
template=base\nshare=${share}\n`;
    expect(findings(more(0.7))).toEqual([]);
    expect(findings(more(0.8))).toEqual([
      'c.ini:0: [team] share: expected shares of all teams that sum to at most 1, found 1.1',
    ]);
  });
});

describe('diffConfigurations', () => {
  it('lists each change and nothing else', () => {
    const old = toConfiguration(sampleRecord(null, 'a')).unwrap();
    const text = `${sampleText(0.4).replace('urgency = 4', 'urgency = 5')}[team kiosk kind scan]
urgency=1\nidempotent=true\ndeadlineMs=9\n`;
    const next = toConfiguration(sampleRecord(null, 'b', text)).unwrap();
    const change = (
      section: string,
      key: string,
      inForce: string | null,
      proposed: string | null,
    ) => ({
      section,
      key,
      inForce,
      proposed,
    });
    expect(diffConfigurations(old, next)).toEqual([
      change('team kiosk', 'share', '0.5', '0.4'),
      change('team kiosk kind scan', 'urgency', null, '1'),
      change('team kiosk kind scan', 'idempotent', null, 'true'),
      change('team kiosk kind scan', 'deadlineMs', null, '9'),
      change('team kiosk kind settle', 'urgency', '4', '5'),
    ]);
    expect(diffConfigurations(old, old)).toEqual([]);
    const removed = diffConfigurations(next, { ...next, teams: new Map() });
    expect(removed.every(({ proposed }) => proposed === null)).toEqual(true);
    expect(removed[0]).toEqual(change('team kiosk', 'template', 'base', null));
    expect(diffConfigurations(null, old).slice(0, 3)).toEqual([
      change('team kiosk', 'template', null, 'base'),
      change('team kiosk', 'share', null, '0.5'),
      change('team kiosk', 'quotaSlots', null, '100'),
    ]);
  });
});
