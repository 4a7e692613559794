/** Guards against pauses that go undetected because one of the clocks does not show them. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PauseDetector } from '../../src/dispatcher/ownership/pauseDetector';
import { FakeMachineClock } from './machineClock';

function setUp(): { clock: FakeMachineClock; detector: PauseDetector } {
  const clock = new FakeMachineClock(5000, 900_000, () => 0);
  return { clock, detector: new PauseDetector(clock) };
}

describe('the pause detector', () => {
  it('reports the length of a pause once', () => {
    const { clock, detector } = setUp();
    clock.advance(401);
    expect([detector.check(), detector.check()]).toEqual([401, 0]);
  });

  it('does not report gaps of 400 ms, even two in a row', () => {
    const { clock, detector } = setUp();
    clock.advance(400);
    const first = detector.check();
    clock.advance(400);
    expect([first, detector.check()]).toEqual([0, 0]);
  });

  it('detects a suspension, during which the steady clock does not advance', () => {
    const { clock, detector } = setUp();
    clock.suspend(2300);
    expect(detector.check()).toEqual(2300);
  });

  it('detects a pause that coincides with a backward step of the time of day', () => {
    const { clock, detector } = setUp();
    clock.advance(2300);
    clock.stepTimeOfDay(-5000);
    expect(detector.check()).toEqual(2300);
  });
});
