/**
 * INI parser that records the line number of each section and key. Each line is passed to the `ini`
 * library separately, so that quoting and comments are handled as in that library.
 */
import * as ini from 'ini';
import type { Finding } from './finding';

/** A value and its line number. */
export interface IniValue {
  readonly text: string;
  readonly line: number;
}

/** A section. Keys are in document order. */
export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly values: ReadonlyMap<string, IniValue>;
}

/** A parsed document. Keys before the first section header belong to the section named ''. */
export interface IniDocument {
  readonly file: string;
  readonly sections: ReadonlyMap<string, IniSection>;
}

interface MutableSection extends IniSection {
  readonly values: Map<string, IniValue>;
}

const SECTION_HEADER = /^\s*\[([^\]]*)\]\s*([;#].*)?$/;
const BLANK_OR_COMMENT = /^\s*([;#].*)?$/;

/** Returns a function that creates findings for the given location. */
function findingFactory(file: string, line: number, section: string, key: string) {
  return (expected: string, found: string): Finding => ({
    file,
    line,
    section,
    key,
    expected,
    found,
  });
}

/**
 * Parses a document. Duplicate sections, duplicate keys, list values and malformed lines are
 * reported as findings.
 */
export function parseIni(
  file: string,
  text: string,
): { readonly document: IniDocument; readonly findings: readonly Finding[] } {
  const findings: Finding[] = [];
  const sections = new Map<string, MutableSection>();
  let current: MutableSection = { name: '', line: 0, values: new Map() };

  function openSection(name: string, line: number): void {
    if (sections.has(name)) {
      findings.push(
        findingFactory(file, line, name, '')('a section name used once', 'a repetition'),
      );
    }
    current = sections.get(name) ?? { name, line, values: new Map() };
    sections.set(name, current);
  }

  function addValue(source: string, line: number): void {
    const entries = Object.entries(ini.parse(source));
    // The library ignores lines without a key and keys named `__proto__`; report them here.
    if (entries.length === 0 && !BLANK_OR_COMMENT.test(source)) {
      const report = findingFactory(file, line, current.name, '');
      findings.push(report('key = value', JSON.stringify(source.trim())));
    }
    entries.forEach(([key, value]) => {
      const report = findingFactory(file, line, current.name, key);
      if (!source.includes('=')) {
        findings.push(report('key = value', JSON.stringify(source.trim())));
      } else if (Array.isArray(value)) {
        findings.push(report('a single value', 'a list'));
      } else if (current.values.has(key)) {
        findings.push(report('a key used once in its section', 'a repetition'));
      } else {
        current.values.set(key, { text: String(value), line });
        sections.set(current.name, current);
      }
    });
  }

  text.split(/\r?\n/).forEach((source, index) => {
    const header = SECTION_HEADER.exec(source);
    if (header) openSection((header[1] ?? '').trim(), index + 1);
    else addValue(source, index + 1);
  });
  return { document: { file, sections }, findings };
}
