/**
 * Guards against job requests with too many tasks, duplicate ids or malicious bodies being
 * accepted.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { JobRequestParser, parseJson } from '../../src/host/callerRequest';
import { DEFAULT_CALLER_SETTINGS } from '../../src/host/callerSettings';

const parser = new JobRequestParser(DEFAULT_CALLER_SETTINGS);

function jobWith(tasks: unknown): unknown {
  return { team: 'kiosk', kind: 'unlock', tasks };
}

function findingsFor(value: unknown): readonly string[] {
  const parsed = parser.parse(value, 0);
  return parsed.ok ? [] : parsed.val.map((finding) => `${finding.path}: ${finding.message}`);
}

describe('JobRequestParser', () => {
  it('accepts 1 to 710 tasks', () => {
    const task = { payload: null };
    expect(findingsFor(jobWith(Array(710).fill(task)))).toEqual([]);
    expect(findingsFor(jobWith([])).length).toEqual(1);
    expect(findingsFor(jobWith(Array(711).fill(task)))).toEqual([
      'tasks: expected at most 710 tasks, found 711',
    ]);
  });

  it('limits the number of findings for a million invalid tasks', () => {
    expect(findingsFor(jobWith(Array(1_000_000).fill(0))).length).toEqual(711);
  });

  it('refuses a duplicate id, also one equal to the default id (index) of another task', () => {
    expect(findingsFor(jobWith([{ payload: 1 }, { id: '0', payload: 1 }]))).toEqual([
      'tasks[1].id: expected an id used once, found that of tasks[0]',
    ]);
  });

  it('ignores or refuses __proto__ members, so that no prototype supplies a value', () => {
    const value: unknown = JSON.parse(
      '{"__proto__":{"team":"kiosk"},"kind":"unlock","tasks":[{"payload":1}]}',
    );
    expect(findingsFor(value).some((fault) => fault.startsWith('team'))).toEqual(true);
    const resources: unknown = JSON.parse('{"cores":1,"__proto__":{"memoryMb":5}}');
    const job = parser.parse({ ...(jobWith([{ payload: 1 }]) as object), resources }, 0);
    expect(job.ok ? job.val.resources.memoryMb : 0).toEqual(0);
  });

  it('refuses bodies nested deeper than the limit', () => {
    const nested = (depth: number) => Buffer.from(`${'['.repeat(depth)}${']'.repeat(depth)}`);
    expect(parseJson(nested(64), 64).ok).toEqual(true);
    expect(parseJson(nested(65), 64).ok).toEqual(false);
    expect(parseJson(nested(1_000_000), 64).ok).toEqual(false);
  });
});
