/**
 * Guards against log lines lost at exit, log failures that stop the process, and wrong sampling.
 */
import { open } from 'node:fs';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { promisify } from 'node:util';
import { expect } from 'earl';
import { PinoLog, Recorder, SampledDecisionLog } from '../../src/observe';

/** Opens a plain descriptor instead of a file handle, because the log closes it. */
const openFile = promisify(open);

type Line = Record<string, unknown>;

async function withLogFile(use: (path: string, fd: number) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'wasabiyoke-log-'));
  try {
    const path = join(folder, 'host.log');
    await use(path, await openFile(path, 'a'));
  } finally {
    await rm(folder, { recursive: true });
  }
}

async function linesOf(path: string): Promise<Line[]> {
  const text = await readFile(path, 'utf8');
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Line);
}

describe('PinoLog', () => {
  it('has written every line when close returns', () =>
    withLogFile(async (path, fd) => {
      const log = new PinoLog({ level: 'info', fd, base: { host: 'h1' } });
      Array.from({ length: 5000 }).forEach((_, index) => log.info('line', { index }));
      log.debug('hidden');
      log.error('broken', { error: new Error('why') });
      await Promise.all([log.close(), log.close()]);
      const lines = await linesOf(path);
      expect(lines.length).toEqual(5001);
      const { timeMs, ...last } = lines[4999] ?? {};
      expect(last).toEqual({ level: 'info', host: 'h1', index: 4999, message: 'line' });
      expect(timeMs).toBeA(Number);
      expect((lines[5000]?.error as Line).message).toEqual('why');
    }));

  it('does not throw for a full destination or lines after close, and counts both', async () => {
    const log = new PinoLog({ level: 'info', fd: await openFile('/dev/full', 'w') });
    log.info('lost');
    await log.close();
    const lost = log.lost();
    expect(lost).toBeGreaterThan(0);
    log.info('after close');
    expect(log.lost()).toEqual(lost + 1);
  });
});

describe('SampledDecisionLog', () => {
  const decision = { decision: 'place', reason: 'mostFreeSlots', fields: { workerId: 'w1' } };

  it('writes all decisions by default, regardless of the log level', () =>
    withLogFile(async (path, fd) => {
      const log = new PinoLog({ level: 'error', fd, base: { host: 'h1' } });
      const decisions = new SampledDecisionLog(log);
      decisions.record(decision);
      decisions.record(decision);
      await log.close();
      const lines = await linesOf(path);
      expect(lines.map((line) => [line.level, line.host, line.reason, line.workerId])).toEqual([
        ['info', 'h1', 'mostFreeSlots', 'w1'],
        ['info', 'h1', 'mostFreeSlots', 'w1'],
      ]);
    }));

  it('falls back to pino for fields that JSON.stringify cannot serialize', () =>
    withLogFile(async (path, fd) => {
      const log = new PinoLog({ level: 'error', fd, base: { host: 'h1' } });
      const circular: Line = { big: 1n };
      circular.self = circular;
      new SampledDecisionLog(log).record({ ...decision, fields: circular });
      log.writeLine({});
      await log.close();
      const [line, empty] = await linesOf(path);
      expect(empty?.host).toEqual('h1');
      expect([line?.host, line?.reason, line?.big]).toEqual(['h1', 'mostFreeSlots', 1]);
    }));

  it('writes the configured fraction, and nothing at 0', () =>
    withLogFile(async (path, fd) => {
      const log = new PinoLog({ level: 'info', fd });
      const values = [0.1, 0.25, 0.3, 0.9];
      const random = { next: () => values.shift() ?? 0 };
      const sampled = new SampledDecisionLog(log, 0.25, random);
      const none = new SampledDecisionLog(log, 0, { next: () => 0 });
      [1, 2, 3, 4].forEach(() => {
        sampled.record(decision);
        none.record(decision);
      });
      await log.close();
      expect((await linesOf(path)).length).toEqual(1);
    }));
});

describe('Recorder', () => {
  it('records lines, decisions and metrics', () => {
    const recorder = new Recorder();
    recorder.warn('late');
    recorder.record({ decision: 'place', reason: 'r', fields: {} });
    recorder.count('starts', 2);
    recorder.count('starts', 3, { team: 'a' });
    recorder.gauge('starts', 9);
    expect(recorder.lines).toEqual([{ level: 'warn', message: 'late', fields: {} }]);
    expect(recorder.decisions.length).toEqual(1);
    expect(recorder.total('starts')).toEqual(5);
  });
});
