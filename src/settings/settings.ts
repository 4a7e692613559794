/**
 * Reads and validates the settings file of an entry host. All findings are reported together, each
 * with its line number. Unknown sections and keys are reported as findings.
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

/**
 * Returns the text of all values by section. Sections missing from the file are added as empty
 * objects, so that the schema fills in their defaults and reports their required keys.
 */
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

function invalidValue(document: IniDocument, issue: z.core.$ZodIssue): Finding {
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

function findingsForIssue(document: IniDocument, issue: z.core.$ZodIssue): readonly Finding[] {
  if (issue.code !== 'unrecognized_keys') return [invalidValue(document, issue)];
  const [section] = issue.path.map(String);
  return issue.keys.map((key) =>
    section === undefined ? unknownSection(document, key) : unknownKey(document, section, key),
  );
}

/**
 * Validates the text of a settings file. `file` is the file name used in findings, which are sorted
 * by line.
 */
export function checkSettings(file: string, text: string): Result<Settings, readonly Finding[]> {
  const { document, findings } = parseIni(file, text);
  const parsed = settingsSchema.safeParse(rawValues(document));
  if (parsed.success && findings.length === 0) return Ok(parsed.data);
  const issues = parsed.success ? [] : parsed.error.issues;
  const all = [...findings, ...issues.flatMap((issue) => findingsForIssue(document, issue))];
  return Err(all.sort((left, right) => left.line - right.line));
}

/** Reads and validates a settings file. An unreadable file is reported as a finding at line 0. */
export async function loadSettings(path: string): Promise<Result<Settings, readonly Finding[]>> {
  try {
    return checkSettings(path, await readFile(path, 'utf8'));
  } catch (thrown) {
    const found = thrown instanceof Error ? thrown.message : String(thrown);
    return Err([{ file: path, line: 0, section: '', key: '', expected: 'a readable file', found }]);
  }
}

/** Returns the options for `src/core` that correspond to the settings. */
export function coreOptions(settings: Settings): CoreOptions {
  return { ...settings.core, guards: settings.guards };
}
