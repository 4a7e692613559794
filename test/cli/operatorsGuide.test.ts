/** Guards against settings keys, defaults, commands, options and reasons that the guide has wrong. */
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { before, describe, it } from 'node:test';
import type { Command } from 'commander';
import { expect } from 'earl';
import { buildProgram } from '../../src/cli';
import type { ProgramContext } from '../../src/cli';
import { Reason } from '../../src/core/job';
import { GrantOutcome } from '../../src/core/messages';
import { SETTINGS_KEYS, checkSettings } from '../../src/settings';
import { NotStartedReason } from '../../src/workers/workers';

const GUIDE = join(__dirname, '../../docs/operators.md');
const SAMPLE = join(__dirname, '../../settings/chadar/sofia-a.ini');
const KEY_ROW = /^\| `(\w+)` \|([^|]*)\|/;

interface Row {
  readonly key: string;
  readonly value: string;
}

/** Rows of the tables under `### [section]` headings. */
function settingsRows(guide: string): Map<string, readonly Row[]> {
  const chapters = guide.split(/^### /m).slice(1);
  return new Map(
    chapters.map((chapter) => {
      const rows = chapter
        .split(/^## /m)[0]!
        .split('\n')
        .flatMap((line) => {
          const match = KEY_ROW.exec(line);
          return match ? [{ key: match[1]!, value: match[2]!.replaceAll('`', '').trim() }] : [];
        });
      return [/^\[(\w+)\]/.exec(chapter)?.[1] ?? chapter, rows];
    }),
  );
}

function ini(sections: Map<string, readonly Row[]>): string {
  return [...sections]
    .map(
      ([name, rows]) =>
        `[${name}]\n${rows.map(({ key, value }) => `${key} = ${value}\n`).join('')}`,
    )
    .join('');
}

/** All commands without subcommands, by their words. */
function leaves(command: Command, words: readonly string[] = []): [string, Command][] {
  if (command.commands.length === 0) return [[words.join(' '), command]];
  return command.commands.flatMap((child) => leaves(child, [...words, child.name()]));
}

/** Command lines: indented blocks and inline code that begin with the program's name. */
function commandLines(guide: string): readonly string[] {
  return [...guide.matchAll(/(?:^ {4}|`)wasabiyoke ([^`\n]+)/gm)].map((match) => match[1]!);
}

describe("the operators' guide", () => {
  let guide = '';
  before(async () => {
    guide = await readFile(GUIDE, 'utf8');
  });

  it('lists exactly the settings keys that exist', () => {
    const rows = [...settingsRows(guide)].map(([section, list]) => [
      section,
      list.map(({ key }) => key),
    ]);
    expect(rows).toEqual([...SETTINGS_KEYS].map(([section, keys]) => [section, [...keys]]));
  });

  it('gives the defaults that are in the code', async () => {
    const sample = await readFile(SAMPLE, 'utf8');
    const required = checkSettings(SAMPLE, sample).unwrap();
    const sections = settingsRows(guide);
    const pick = (keep: (row: Row) => boolean) =>
      new Map(
        [...sections].map(([section, rows]) => [
          section,
          rows.filter(keep).map(({ key, value }) => {
            const given = (required as Record<string, Record<string, unknown>>)[section]?.[key];
            return { key, value: value === 'required' ? String(given) : value };
          }),
        ]),
      );
    const short = checkSettings('short', ini(pick(({ value }) => value === 'required'))).unwrap();
    expect(checkSettings('long', ini(pick(() => true))).unwrap()).toEqual(short);
  });

  it('uses every command, with options that exist', () => {
    const commands = leaves(buildProgram({ terminal: {}, user: '' } as ProgramContext));
    const lines = commandLines(guide);
    lines.forEach((line) => {
      const found = commands.find(([words]) => `${line} `.startsWith(`${words} `));
      const known = found?.[1].options.map(({ long }) => long) ?? [];
      const used = line.match(/--[\w-]+/g) ?? [];
      expect([line, found !== undefined, used.filter((option) => !known.includes(option))]).toEqual(
        [line, true, []],
      );
    });
    const unused = commands.filter(([words]) => !lines.some((line) => line.startsWith(words)));
    expect(unused.map(([words]) => words)).toEqual([]);
  });

  it('explains every reason of the code', () => {
    const reasons = [Reason, NotStartedReason, GrantOutcome].flatMap((set) => Object.values(set));
    expect(reasons.filter((reason) => !guide.includes(`\`${reason}\``))).toEqual([]);
  });
});
