/** The slope measurement: its drives must do the work that they charge for, or its figures are void. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { parseConfiguration } from '../../src/configuration/parse';
import { configurationText, TEAMS } from '../../src/bench/slopesFleet';
import { SAMPLE_MESSAGES, sampleBytes } from '../../src/bench/slopesMessages';
import { formatNumber, rowOf, tableOf } from '../../src/bench/slopesRow';
import { SchedulerDrive } from '../../src/bench/slopesScheduler';
import { SubmitterDrive } from '../../src/bench/slopesSubmitter';
import { decodeMessage, encodeMessage } from '../../src/peers';

describe('slope measurement', () => {
  it('grants every slot that is requested, and again after a release', () => {
    const drive = new SchedulerDrive(30, 9);
    for (let left = 100; left > 0; left -= 4) drive.request(4);
    expect(drive.held).toEqual(100);
    drive.release(40);
    expect(drive.held).toEqual(60);
  });

  it('holds all slots while tasks wait, so that each release causes a grant', () => {
    const drive = new SchedulerDrive(30, 9);
    for (let left = 1000; left > 0; left -= 4) drive.request(4, true);
    const { held } = drive;
    expect(held).toBeGreaterThan(200);
    drive.release(50);
    expect(drive.held).toEqual(held);
  });

  it('answers each job, and none without grants', () => {
    const drive = new SubmitterDrive(9);
    drive.submit(4);
    drive.submit(710);
    expect(drive.answers).toEqual(2);
    drive.grants = false;
    drive.submit(4);
    expect(drive.answers).toEqual(2);
    expect(drive.core.pending()).toEqual(1);
  });

  it('takes sizes from messages that the peers accept', () => {
    Object.entries(SAMPLE_MESSAGES).forEach(([name, message]) => {
      const bytes = encodeMessage(message);
      expect(decodeMessage(bytes)).toEqual(message);
      expect(sampleBytes(name)).toEqual(bytes.length);
    });
  });

  it('uses a configuration of all teams that passes the check', () => {
    const parsed = parseConfiguration('slopes.ini', configurationText());
    expect(parsed.unwrap().size).toEqual(TEAMS);
  });

  it('shows the median with the spread', () => {
    const row = rowOf('CPU', 'start', 'µs', [3, 1, 10, 2]);
    expect([row.median, row.low, row.high]).toEqual([2.5, 1, 10]);
    expect(tableOf([row])).toInclude('| CPU | start | 2.5 | 1 to 10 | µs |');
    expect([1234.4, 0.01234, 100].map(formatNumber)).toEqual(['1,230', '0.0123', '100']);
  });
});
