/** Digests and ordering of the records that hosts exchange about cell owners. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { digestOf, supersedes, type HostIdentity } from '../../src/dispatcher/ownership/cellRecord';

const OWNER = { hostId: 'a', incarnation: '1', domain: 'bole', address: '10.0.0.1:1', cores: 1 };

function digest(tokens: Readonly<Record<string, number>>): string {
  return digestOf(Object.entries(tokens).map(([cell, token]) => ({ cell, owner: OWNER, token })));
}

describe('the digest of the known owners', () => {
  it('is the same for the same owners, in any order', () => {
    expect(digest({ bole: 1000, piassa: 2000 })).toEqual(digest({ piassa: 2000, bole: 1000 }));
  });

  it('differs if two hosts have missed different changes of owner', () => {
    expect(digest({ bole: 1000, piassa: 2000 })).not.toEqual(digest({ bole: 2000, piassa: 1000 }));
  });

  // Guards against two owners of a cell with equal tokens: with equal digests they would not
  // exchange their records.
  it('differs if two hosts know different owner processes with equal tokens', () => {
    const digests = [OWNER, { ...OWNER, hostId: 'b' }, { ...OWNER, incarnation: '2' }].map(
      (owner) => digestOf([{ cell: 'bole', owner, token: 3003 }]),
    );
    expect(new Set(digests).size).toEqual(3);
  });
});

describe('the record that supersedes another', () => {
  function record(owner: Partial<HostIdentity>, token: number) {
    return { cell: 'bole', owner: { ...OWNER, ...owner }, token };
  }

  it('is the one with the higher token, regardless of the owner', () => {
    expect(supersedes(record({ hostId: 'b' }, 3004), record({ hostId: 'a' }, 3003))).toEqual(true);
    expect(supersedes(record({ hostId: 'a' }, 3003), record({ hostId: 'b' }, 3004))).toEqual(false);
  });

  // Guards against a cell with two owners because hosts choose different records.
  it('is the same for all hosts if tokens are equal, regardless of the order of arrival', () => {
    const records = [
      record({ hostId: 'a', incarnation: '1' }, 3003),
      record({ hostId: 'a', incarnation: '2' }, 3003),
      record({ hostId: 'b', incarnation: '1' }, 3003),
    ];
    records.forEach((one) => {
      records.forEach((other) => {
        const expected =
          one === other ? [false, false] : [supersedes(one, other), !supersedes(one, other)];
        expect([supersedes(one, other), supersedes(other, one)]).toEqual(expected);
      });
      const isNewest = records.every((other) => other === one || supersedes(one, other));
      expect(isNewest).toEqual(one === records[0]);
    });
  });

  it('is neither of two records of the same process', () => {
    expect(supersedes(record({}, 3003), record({}, 3003))).toEqual(false);
  });
});
