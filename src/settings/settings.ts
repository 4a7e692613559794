/**
 * Reads the settings file of one entry host. All findings are reported together, each with its line;
 * sections and keys that are not known are findings.
 */
import { readFile } from 'node:fs/promises';
import { Err, Ok } from 'ts-results';
import type { Result } from 'ts-results';
import type { z } from 'zod';
import type { CoreOptions } from '../core/options';
import type { Finding } from './finding';
import { parseIni } from './iniDocument';
import type { IniDocument } from './iniDocument';
import { SETTINGS_KEYS, settingsSchema } from './settingsSchema';
import type { Settings } from './settingsSchema';

/** Text of all values by section; sections that the file lacks are empty, for their defaults. */
function rawValues(document: IniDocument): Record<string, Record<string, string>> {
  const present = [...document.sections].map(([name, { values }]) => [
    name,
    Object.fromEntries([...values].map(([key, { text }]) => [key, text])),
  ]);
  const absent = [...SETTINGS_KEYS.keys()].map((name) => [name, {}]);
  return Object.fromEntries([...absent, ...present]);
}

function unknownSection(document: IniDocument, name: string): Finding {
  const section = document.sections.get(name);
  const names = [...SETTINGS_KEYS.keys()].map((known) => `[${known}]`).join(', ');
  return {
    file: document.file,
    line: section?.line ?? 0,
    section: name,
    key: '',
    expected: `one of the sections ${names}`,
    found: name === '' ? 'keys before the first section' : 'an unknown section',
  };
}

function unknownKey(document: IniDocument, section: string, key: string): Finding {
  return {
    file: document.file,
    line: document.sections.get(section)?.values.get(key)?.line ?? 0,
    section,
    key,
    expected: `one of the keys ${SETTINGS_KEYS.get(section)?.join(', ')}`,
    found: 'an unknown key',
  };
}

function wrongValue(document: IniDocument, issue: z.core.$ZodIssue): Finding {
  const [section = '', key = ''] = issue.path.map(String);
  const present = document.sections.get(section);
  const value = present?.values.get(key);
  return {
    file: document.file,
    line: value?.line ?? present?.line ?? 0,
    section,
    key,
    expected: issue.message,
    found: value === undefined ? 'nothing' : JSON.stringify(value.text),
  };
}

function findingsOf(document: IniDocument, issue: z.core.$ZodIssue): readonly Finding[] {
  if (issue.code !== 'unrecognized_keys') return [wrongValue(document, issue)];
  const [section] = issue.path.map(String);
  return issue.keys.map((key) =>
    section === undefined ? unknownSection(document, key) : unknownKey(document, section, key),
  );
}

/** Checks the text of a settings file; `file` is its name in findings, which are in line order. */
export function checkSettings(file: string, text: string): Result<Settings, readonly Finding[]> {
  const { document, findings } = parseIni(file, text);
  const parsed = settingsSchema.safeParse(rawValues(document));
  if (parsed.success && findings.length === 0) return Ok(parsed.data);
  const issues = parsed.success ? [] : parsed.error.issues;
  const all = [...findings, ...issues.flatMap((issue) => findingsOf(document, issue))];
  return Err(all.sort((left, right) => left.line - right.line));
}

/** Reads and checks a settings file. A file that can't be read is a finding at line 0. */
export async function loadSettings(path: string): Promise<Result<Settings, readonly Finding[]>> {
  try {
    return checkSettings(path, await readFile(path, 'utf8'));
  } catch (thrown) {
    const found = thrown instanceof Error ? thrown.message : String(thrown);
    return Err([{ file: path, line: 0, section: '', key: '', expected: 'a readable file', found }]);
  }
}

/** The options of the decision code that the settings give. */
export function coreOptions(settings: Settings): CoreOptions {
  return { ...settings.core, guards: settings.guards };
}
