/**
 * Guards against examples in docs/callers.md that the interface refuses, and against problem types
 * or statuses there that differ from the code.
 */
import { readFile } from 'node:fs/promises';
import { before, describe, it } from 'node:test';
import { expect } from 'earl';
import { PROBLEM_STATUS } from '../../src/host/callerAnswer';
import { ProblemType } from '../../src/host/callerProblem';
import { JobRequestParser, parseKeysRequest } from '../../src/host/callerRequest';
import { DEFAULT_CALLER_SETTINGS } from '../../src/host/callerSettings';

interface Block {
  readonly language: string;
  readonly text: string;
}

let page = '';
let blocks: readonly Block[] = [];

function bodiesFor(path: string): readonly unknown[] {
  return blocks
    .filter(({ language, text }) => language === 'sh' && text.includes(`${path}"`))
    .flatMap(({ text }) => [...text.matchAll(/-d '([^']*)'/g)])
    .map(([, body]) => JSON.parse(body ?? '') as unknown);
}

describe('docs/callers.md', () => {
  before(async () => {
    page = await readFile('docs/callers.md', 'utf8');
    blocks = [...page.matchAll(/```(\w+)\n([^]*?)```/g)].map(([, language = '', text = '']) => ({
      language,
      text,
    }));
  });

  it('contains only job examples that the parser accepts', () => {
    const parser = new JobRequestParser(DEFAULT_CALLER_SETTINGS);
    const parsed = bodiesFor('/v1/jobs').map((body) => parser.parse(body, 0));
    expect(parsed.map((result) => result.ok)).toEqual([true, true]);
  });

  it('contains an example of a key request that the parser accepts', () => {
    const parsed = bodiesFor('/v1/keys').map((body) => parseKeysRequest(body).ok);
    expect(parsed).toEqual([true]);
  });

  it('contains example answers in valid JSON', () => {
    const answers = blocks.filter(({ language }) => language === 'json');
    answers.forEach(({ text }) => JSON.parse(text));
    expect(answers.length).toEqual(2);
  });

  it('lists exactly the problem types of the code', () => {
    const named = new Set([...page.matchAll(/\/problems\/[a-z-]+/g)].map(([type]) => type));
    expect([...named].sort()).toEqual([...Object.values(ProblemType)].sort());
  });

  it('lists the status of each problem type as in the code', () => {
    const rows = [...page.matchAll(/^\| `(\/problems\/[a-z-]+)`\s*\| (\d+)/gm)];
    const statuses = rows.map(([, type, status]) => [type, Number(status)] as const);
    expect(Object.fromEntries(statuses)).toEqual({ ...PROBLEM_STATUS });
  });
});
