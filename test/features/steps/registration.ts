/** Steps on hosts that are registered in the store under leases. */
import { Given, Then, When } from '@cucumber/cucumber';
import { expect } from 'earl';
import { Registry } from '../support/registry';
import { scenario } from '../support/scenario';

function registry(): Registry {
  const state = scenario();
  if (state.registry === null) throw new Error('the scenario has no registered hosts');
  return state.registry;
}

Given(
  '{int} hosts registered in the store for {int} seconds',
  async (count: number, ttl: number) => {
    const created = new Registry(ttl * 1000);
    scenario().registry = created;
    await Promise.all(Array.from({ length: count }, (_, index) => created.register(index + 1)));
  },
);

When(
  'host {int} does not renew its registration for {int} seconds',
  (host: number, count: number) => registry().pass(count * 1000, host),
);

When('host {int} registers again', (host: number) => registry().register(host));

Then('host {int} is registered', async (host: number) => {
  expect((await registry().registered()).includes(host)).toEqual(true);
});

Then('host {int} is not registered', async (host: number) => {
  const registered = await registry().registered();
  expect(registered.includes(host)).toEqual(false);
  // The others have renewed their leases.
  expect(registered.length).toEqual(registry().leases.size - 1);
});

Then('host {int} finds that its lease has lapsed', async (host: number) => {
  expect(await registry().renew(host)).toEqual(false);
});
