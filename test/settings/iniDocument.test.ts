/** Guards against INI syntax errors that are accepted or reported without their location. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { formatFinding } from '../../src/settings/finding';
import { parseIni } from '../../src/settings/iniDocument';

describe('parseIni', () => {
  it('records the line number of each value', () => {
    const { document, findings } = parseIni(
      'a.ini',
      '; note\nname = x\n[team kiosk]\nshare = 0.5\n',
    );
    expect(findings).toEqual([]);
    expect(document.sections.get('')?.values.get('name')).toEqual({ text: 'x', line: 2 });
    expect(document.sections.get('team kiosk')?.values.get('share')).toEqual({
      text: '0.5',
      line: 4,
    });
  });

  it('reports duplicate sections, duplicate keys and lines without a value together', () => {
    const { findings } = parseIni('a.ini', '[a]\nx = 1\nx = 2\nbare\n[a]\n');
    expect(findings.map(formatFinding)).toEqual([
      'a.ini:3: [a] x: expected a key used once in its section, found a repetition',
      'a.ini:4: [a] bare: expected key = value, found "bare"',
      'a.ini:5: [a]: expected a section name used once, found a repetition',
    ]);
  });

  it('does not split section names at dots', () => {
    const { document } = parseIni('a.ini', '[team a.b]\nshare=1\n');
    expect([...document.sections.keys()]).toEqual(['team a.b']);
  });
});
