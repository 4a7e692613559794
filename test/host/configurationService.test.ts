/** Guards against a closed host that goes on calling the store, which keeps its process alive. */
import { it } from 'node:test';
import { expect } from 'earl';
import { MemberState, type Member } from '../../src/core/messages';
import { ConfigurationService } from '../../src/host/configurationService';
import { MemoryStore } from '../../src/standins/storeMemory';

const SELF: Member = {
  hostId: 'a-1',
  incarnation: '1',
  domain: 'a',
  peerAddress: '127.0.0.1:1',
  state: MemberState.alive,
  sequence: 0,
};

class CountingStore extends MemoryStore {
  watches = 0;

  override watch(
    ...parameters: Parameters<MemoryStore['watch']>
  ): ReturnType<MemoryStore['watch']> {
    this.watches += 1;
    return super.watch(...parameters);
  }
}

function serviceOn(store: MemoryStore): ConfigurationService {
  return new ConfigurationService({
    hostId: SELF.hostId,
    domain: SELF.domain,
    service: 'kiosk-dispatch',
    store,
    peers: { send: () => {} },
    random: { next: () => 0.5 },
    clock: { nowMs: () => 0 },
    log: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
    relaysOf: (_, members) => members,
    onConfiguration: () => {},
  });
}

// The event bus delivers a membership change that was published before the close after it.
it('does not become a relay after it has been closed', async () => {
  const store = new CountingStore({ clock: { nowMs: () => 0 } });
  const service = serviceOn(store);
  await service.open();
  service.setMembers([SELF]);
  expect(store.watches).toEqual(1);
  await service.close();
  service.setMembers([SELF]);
  const { watches } = store;
  await service.close();
  expect(watches).toEqual(1);
});
