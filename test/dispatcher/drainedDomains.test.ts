/** How hosts learn which failure domains are drained, from the store and from each other. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { DrainedDomains, type DomainDrain } from '../../src/dispatcher/drainedDomains';
import { QueueTable } from '../../src/dispatcher/jobs/queueTable';
import type { PeerClient } from '../../src/dispatcher/peers/peerClient';
import type { StatusRequest } from '../../src/dispatcher/peers/peerMessages';
import { StatusExchange } from '../../src/dispatcher/peers/statusExchange';
import { SUBMITTER } from './peerFixtures';

const DOMAINS = ['bole', 'piassa'];

function drain(revision: number, drained = true, domain = 'bole'): DomainDrain {
  return { domain, drained, revision };
}

/** A host that learns from the store through its methods, and from others by status calls. */
class DrainHost {
  readonly changes: string[] = [];

  readonly decisions: string[] = [];

  readonly drains: DrainedDomains;

  readonly #exchange: StatusExchange;

  /** The host that answers its status calls. */
  #peer: DrainHost | null = null;

  constructor(hostId: string) {
    const journal = { logDecision: (decision: string) => this.decisions.push(decision) };
    const self = { ...SUBMITTER, hostId };
    const clock = { nowMs: () => 0, timeOfDayMs: () => 0 };
    this.drains = new DrainedDomains({
      domains: DOMAINS,
      clock,
      journal,
      onChange: (domain) => this.changes.push(`${domain}:${this.drains.isDrained(domain)}`),
    });
    const status = async (_: string, request: StatusRequest) => ({
      ...this.#peer?.answer(request),
      batches: [],
    });
    this.#exchange = new StatusExchange({
      self,
      peers: { status } as unknown as PeerClient,
      seeds: [],
      queues: new QueueTable(),
      records: { digest: '', all: () => [], cellsPerDomain: null } as never,
      lists: { versionOf: () => 0, newerThan: () => null, wanted: () => [] } as never,
      crashes: { changesSince: () => undefined, learn: () => {} } as never,
      drains: this.drains,
      clock,
      journal,
      onSummaries: () => {},
      onPolled: () => {},
    });
  }

  answer(request: StatusRequest): object {
    // As sent over the wire, without members that are undefined.
    const sent = JSON.parse(JSON.stringify(request)) as StatusRequest;
    return JSON.parse(JSON.stringify(this.#exchange.answer(sent, [], false))) as object;
  }

  async poll(peer: DrainHost): Promise<void> {
    this.#peer = peer;
    await this.#exchange.poll('peer');
  }
}

describe('the drain of a failure domain', () => {
  it('begins and ends with the changes that the store reports, and is logged', () => {
    const { drains, changes, decisions } = new DrainHost('a');
    drains.applyRead([], 5);
    drains.applyChange(drain(7));
    expect(drains.isDrained('bole')).toEqual(true);
    drains.applyChange(drain(9, false));
    expect(changes).toEqual(['bole:true', 'bole:false']);
    expect(decisions).toEqual(['domain-drained', 'domain-restored']);
  });

  // Guards against a domain that stays drained because its watch was cut when the request was taken
  // back.
  it('ends with a read that does not list it any more', () => {
    const { drains } = new DrainHost('a');
    drains.applyRead([drain(7)], 8);
    drains.applyRead([], 12);
    expect(drains.isDrained('bole')).toEqual(false);
  });

  // Guards against a slow read that undoes a later change.
  it('is not ended by a read from before it began', () => {
    const { drains } = new DrainHost('a');
    drains.applyChange(drain(7));
    drains.applyRead([], 6);
    expect(drains.isDrained('bole')).toEqual(true);
  });

  // Guards against tasks in the domain at a host that can't reach the store.
  it('is learned from a host that is polled, and from one that polls', async () => {
    const [knows, polls, polled] = [new DrainHost('a'), new DrainHost('b'), new DrainHost('c')];
    knows.drains.applyRead([drain(7)], 8);
    await polls.poll(knows);
    expect(polls.drains.isDrained('bole')).toEqual(true);
    await knows.poll(polled);
    expect(polled.drains.isDrained('bole')).toEqual(true);
  });

  // Guards against a host that was cut off during the end of a drain and drains the domain again.
  it('is not revived by a host that has missed its end, and that host learns of the end', async () => {
    const [late, other] = [new DrainHost('a'), new DrainHost('b')];
    late.drains.applyRead([drain(7)], 8);
    other.drains.applyRead([drain(7)], 8);
    other.drains.applyChange(drain(9, false));
    await late.poll(other);
    expect(other.drains.isDrained('bole')).toEqual(false);
    expect(late.drains.isDrained('bole')).toEqual(false);
  });

  // Guards against a new process that has read the store and believes an older message.
  it('is not taken from a message that is older than the read of the store', async () => {
    const [late, fresh] = [new DrainHost('a'), new DrainHost('b')];
    late.drains.applyRead([drain(7)], 8);
    fresh.drains.applyRead([], 12);
    await fresh.poll(late);
    expect(fresh.drains.isDrained('bole')).toEqual(false);
    await late.poll(fresh);
    expect(late.drains.isDrained('bole')).toEqual(false);
    // The same if the fresh process knows an earlier drain of the domain.
    fresh.drains.applyRead([], 30);
    fresh.drains.merge([drain(25)], 'c');
    expect(fresh.drains.isDrained('bole')).toEqual(false);
    fresh.drains.applyChange(drain(31));
    expect(fresh.drains.isDrained('bole')).toEqual(true);
  });

  // Guards against a new process that takes the silence of another one for "no domain is drained".
  it('counts as unknown until the store or a host that knows has told', async () => {
    const [fresh, other] = [new DrainHost('a'), new DrainHost('b')];
    await fresh.poll(other);
    expect(fresh.drains.isKnown).toEqual(false);
    other.drains.applyRead([], 3);
    await fresh.poll(other);
    expect(fresh.drains.isKnown).toEqual(true);
  });

  // Guards against an unknown name that is logged with each message, and against malformed facts.
  it('is ignored for an unknown domain, and logged once', () => {
    const { drains, decisions } = new DrainHost('a');
    drains.merge([drain(7, true, 'mars'), drain(8, true, 'mars'), {} as DomainDrain], 'b');
    expect(drains.all()).toEqual([]);
    expect(decisions).toEqual(['drain-ignored']);
  });
});
