/** Guards against pauses that go unnoticed because one clock does not show them. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PauseWatch } from '../../src/dispatcher/pauseWatch';
import { FakeMachineClock } from './machineClock';

function watched(): { clock: FakeMachineClock; watch: PauseWatch } {
  const clock = new FakeMachineClock(5000, 900_000, () => 0);
  return { clock, watch: new PauseWatch(clock) };
}

describe('the watch for pauses', () => {
  it('tells the length of a pause once', () => {
    const { clock, watch } = watched();
    clock.advance(401);
    expect([watch.look(), watch.look()]).toEqual([401, 0]);
  });

  it('takes a time of 400 ms for no pause, also twice in a row', () => {
    const { clock, watch } = watched();
    clock.advance(400);
    const first = watch.look();
    clock.advance(400);
    expect([first, watch.look()]).toEqual([0, 0]);
  });

  it('finds a suspension, which the steady clock does not count', () => {
    const { clock, watch } = watched();
    clock.suspend(2300);
    expect(watch.look()).toEqual(2300);
  });

  it('finds a pause behind a step of the time of day back', () => {
    const { clock, watch } = watched();
    clock.advance(2300);
    clock.stepTimeOfDay(-5000);
    expect(watch.look()).toEqual(2300);
  });
});
