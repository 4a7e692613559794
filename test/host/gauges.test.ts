/** Guards against queue lengths that are reported twice, by hosts that do not schedule the domain. */
import { it } from 'node:test';
import { expect } from 'earl';
import { reportGauges } from '../../src/host/gauges';
import { NO_METRICS } from '../../src/observe';
import { Driver, job } from '../core/driver';

function gaugesOf(driver: Driver): ReadonlyMap<string, number> {
  const gauges = new Map<string, number>();
  reportGauges(driver.core.inspect(), {
    ...NO_METRICS,
    gauge: (name, value) => gauges.set(name, value),
  });
  return gauges;
}

it('reports queues and workers of the domain only while the host schedules it', () => {
  const driver = Driver.ready([1]);
  driver.submit(job(3));
  const gauges = gaugesOf(driver);
  expect(gauges.get('queue.tasks')).toEqual(2);
  expect(gauges.get('slots.used')).toEqual(1);
  expect(gauges.get('workers.active')).toEqual(1);
  expect(gauges.get('submissions.pending')).toEqual(1);
  expect([...gaugesOf(new Driver('b1')).keys()].sort()).toEqual([
    'attempts.in_progress',
    'submissions.kept',
    'submissions.pending',
  ]);
});
