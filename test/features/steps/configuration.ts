/** Steps on publications, the store and its faults. */
import { Given, Then, When } from '@cucumber/cucumber';
import { expect } from 'earl';
import { Hosts } from '../support/configurationHosts';
import { hosts, scenario } from '../support/scenario';

Given('{int} hosts around one store', (count: number) => {
  scenario().hosts = new Hosts(count);
});

When('host {int} publishes', async (host: number) => {
  await hosts().publish([host]);
});

When(/^hosts ([\d, and]+) publish at once$/, async (list: string) => {
  await hosts().publish((list.match(/\d+/g) ?? []).map(Number));
});

When('the store is down', () => hosts().world.store.cut());
When('the store does not answer in time', () => hosts().world.store.faults.freeze());
When('the store answers again', () => hosts().world.store.faults.mend());
When('the store refuses calls', () => hosts().world.store.faults.refuse());

When('the store loses its next {int} answer(s)', (count: number) =>
  hosts().world.store.faults.loseAnswers(count),
);

When('the store loses the answer to the next write', () => {
  // Each call has two steps: the read of a publication, then its write.
  hosts().world.plan(3, () => hosts().world.store.faults.loseAnswers(1));
});

When('the store loses its last {int} change(s)', (count: number) => {
  const { state } = hosts().world.store;
  state.rollBack(state.revision - count);
});

When(
  'the store is restored from {int} change(s) ago in the middle of a publication',
  (count: number) => {
    const { state } = hosts().world.store;
    hosts().world.plan(2, () => state.rollBack(state.revision - count));
  },
);

When('reads of the store lag by {int} change(s)', (count: number) => {
  const { state } = hosts().world.store;
  state.readAt(state.revision - count);
});

When('reads of the store are current again', () => hosts().world.store.state.readAt(null));

When('one of {int} messages between hosts is lost', (count: number) => {
  hosts().loseOneOf = count;
});

When('host {int} starts anew', (host: number) => hosts().restart(host));

When('the hosts talk for {int} second(s)', async (count: number) => {
  await hosts().seconds(count);
});

Then('all hosts have the same configuration within {int} seconds', async (count: number) => {
  await hosts().seconds(count);
  const [first] = hosts().generations;
  expect(hosts().generations).toEqual(hosts().generations.map(() => first ?? 0));
  expect((first ?? 0) > 0).toEqual(true);
});

Then(
  'all hosts have generation {int} within {int} seconds',
  async (generation: number, count: number) => {
    await hosts().seconds(count);
    expect(hosts().generations).toEqual(hosts().generations.map(() => generation));
  },
);

Then('host {int} has generation {int}', (host: number, generation: number) => {
  expect(hosts().generations[host - 1]).toEqual(generation);
});

Then('no host has gone back', () => hosts().look());

Then(
  /^(\d+) publications? (?:is|are) (published|unavailable|unknown|told what won)$/,
  (count: string, words: string) => {
    const wanted = words === 'told what won' ? 'lostRace' : words;
    const found = hosts().outcomes.filter(({ outcome }) => outcome === wanted);
    expect(found.length).toEqual(Number(count));
  },
);

Then('each loser is told the generation, publisher and time that won', () => {
  const losers = hosts().outcomes.flatMap((each) => (each.outcome === 'lostRace' ? [each] : []));
  expect(losers.length > 0).toEqual(true);
  losers.forEach(({ winner }) => {
    expect(winner.generation > 0).toEqual(true);
    expect(winner.publishedBy === '').toEqual(false);
    expect(Number.isFinite(winner.publishedAtMs)).toEqual(true);
  });
});

Then('the store holds generation {int}', (generation: number) => {
  expect(hosts().world.stored?.generation ?? 0).toEqual(generation);
});
