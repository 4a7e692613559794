/** Rate limit of the decision log, and the report of dropped lines. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RateLimitedJournal } from '../../src/dispatcher/journal';
import type { LogFields } from '../../src/observe/observer';

describe('the rate-limited journal', () => {
  it('limits the lines of each kind and reports dropped lines once per second', () => {
    const lines: LogFields[] = [];
    let nowMs = 0;
    const journal = new RateLimitedJournal(
      { writeLine: (line) => lines.push(line) },
      3,
      () => nowMs,
    );
    for (let count = 0; count < 10; count += 1) journal.logDecision('placed', { count });
    journal.logDecision('claim', {});
    expect(lines.map(({ decision }) => decision)).toEqual(['placed', 'placed', 'placed', 'claim']);
    nowMs = 1000;
    journal.logDecision('claim', {});
    expect(lines[4]).toEqual({ decision: 'lines-omitted', omitted: { placed: 7 } });
    expect(journal.dropped).toEqual(7);
  });
});
