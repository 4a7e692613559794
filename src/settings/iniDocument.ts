/**
 * An INI document that remembers the line of each section and key. Every line is decoded by the
 * `ini` library on its own, so that quoting and comments follow that library.
 */
import * as ini from 'ini';
import type { Finding } from './finding';

/** A value with the line it stands on. */
export interface IniValue {
  readonly text: string;
  readonly line: number;
}

/** One section; keys keep the order of the document. */
export interface IniSection {
  readonly name: string;
  readonly line: number;
  readonly values: ReadonlyMap<string, IniValue>;
}

/** A document; keys before the first section header stand in the section with the name ''. */
export interface IniDocument {
  readonly file: string;
  readonly sections: ReadonlyMap<string, IniSection>;
}

interface MutableSection extends IniSection {
  readonly values: Map<string, IniValue>;
}

const SECTION_HEADER = /^\s*\[([^\]]*)\]\s*([;#].*)?$/;
const BLANK_OR_COMMENT = /^\s*([;#].*)?$/;

function findingAt(file: string, line: number, section: string, key: string) {
  return (expected: string, found: string): Finding => ({
    file,
    line,
    section,
    key,
    expected,
    found,
  });
}

/** Parses a document. Repeated sections and keys and lines that are neither are findings. */
export function parseIni(
  file: string,
  text: string,
): { readonly document: IniDocument; readonly findings: readonly Finding[] } {
  const findings: Finding[] = [];
  const sections = new Map<string, MutableSection>();
  let current: MutableSection = { name: '', line: 0, values: new Map() };

  function openSection(name: string, line: number): void {
    if (sections.has(name)) {
      findings.push(findingAt(file, line, name, '')('a section name used once', 'a repetition'));
    }
    current = sections.get(name) ?? { name, line, values: new Map() };
    sections.set(name, current);
  }

  function addValue(source: string, line: number): void {
    const entries = Object.entries(ini.parse(source));
    // The library skips lines that have no key and keys with the name __proto__.
    if (entries.length === 0 && !BLANK_OR_COMMENT.test(source)) {
      const report = findingAt(file, line, current.name, '');
      findings.push(report('key = value', JSON.stringify(source.trim())));
    }
    entries.forEach(([key, value]) => {
      const report = findingAt(file, line, current.name, key);
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
