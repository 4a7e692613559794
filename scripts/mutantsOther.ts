/** Mutations of the rules in src/configuration, src/membership and the stand-in worker. */
import { mutantsOf, type Mutant } from './mutantsTypes';

const CONFIGURATION = [
  'test/configuration/publish.test.ts',
  'test/configuration/replica.test.ts',
  'test/configuration/parse.test.ts',
];
const MEMBERSHIP = ['test/membership/membership.test.ts', 'test/membership/guards.test.ts'];
const WORKER = ['test/workers/workerModel.test.ts', 'test/workers/workerModelGuards.test.ts'];

/** Rules of configuration. */
export const CONFIGURATION_MUTANTS: readonly Mutant[] = [
  ...mutantsOf('src/configuration/record.ts', CONFIGURATION, [
    [
      'lets an older generation win',
      'return a.generation > (b?.generation ?? 0);',
      'return a.generation >= 0;',
    ],
    [
      'never decides between two records of one generation',
      'return a.publicationId > b.publicationId;',
      'return false;',
    ],
    [
      'keeps no history',
      '[...(base?.history ?? []), publicationId].slice(-HISTORY_LENGTH)',
      '[publicationId]',
    ],
    [
      'gives every publication the same generation',
      'generation: (base?.generation ?? 0) + 1,',
      'generation: base?.generation ?? 1,',
    ],
  ]),
  ...mutantsOf('src/configuration/replica.ts', CONFIGURATION, [
    [
      'accepts an older generation',
      'if (old !== null && !isNewer(record, old)) return this.#reportConflict(record, old);',
      '',
    ],
    [
      'writes back without being a relay',
      'return this.#relay && mayWriteBack ?',
      'return mayWriteBack ?',
    ],
    [
      'writes back in answer to a write-back',
      'return this.#relay && mayWriteBack ?',
      'return this.#relay ?',
    ],
    [
      'does not push as a relay',
      "if (this.#relay) actions.push({ type: 'pushToDomain', message: toPush(record) });",
      '',
    ],
    ['pulls for every message', 'if (nowMs - this.#pulledAtMs < PULL_INTERVAL_MS) return [];', ''],
    [
      'does not pull when behind',
      'this.#pulledAtMs = nowMs;\n    return [this.#pull(from)];',
      'this.#pulledAtMs = nowMs;\n    return [];',
    ],
  ]),
  ...mutantsOf('src/configuration/publish.ts', CONFIGURATION, [
    [
      'repeats an accepted publication',
      'if (accepted !== null) return published(publicationId, accepted, base.record);',
      '',
    ],
    [
      'repeats a publication over a newer one',
      'return isNewer(current.val, base.record) ? lostRace(current.val) : null;',
      'return null;',
    ],
    [
      'publishes an edit of an older generation',
      'generation > (basedOnGeneration ?? generation)',
      'generation < 0',
    ],
    [
      'publishes below a generation that was seen',
      'if (generation < newest) {',
      'if (generation < 0) {',
    ],
    [
      'publishes before it repairs the store',
      'if (inForce !== null && isNewer(inForce, record)) return this.#repair(entry, attempts);',
      '',
    ],
    [
      'calls a lost answer a failure',
      "if (written.val.code === 'unclear') this.#maybeWritten = true;",
      "if (written.val.code === 'refused') this.#maybeWritten = true;",
    ],
    [
      'publishes what is not valid',
      "if (parsed.err) return { outcome: 'invalid', findings: parsed.val };",
      '',
    ],
    [
      'writes over what it has not read',
      'entry?.modRevision ?? 0, entry?.value)',
      'entry?.modRevision ?? 0)',
    ],
  ]),
];

/** Rules of membership. */
export const MEMBERSHIP_MUTANTS: readonly Mutant[] = [
  ...mutantsOf('src/membership/memberTable.ts', MEMBERSHIP, [
    [
      'refutes nothing',
      'if (!supersedes(claim, this.#self)) return null;',
      'if (claim.sequence >= 0) return null;',
    ],
    [
      'declares a suspect dead at once',
      'nowMs - suspectedAtMs >= suspicionMs',
      'nowMs - suspectedAtMs >= suspicionMs * 0',
    ],
    [
      'accepts older records',
      '} else if (!supersedes(claim, current.member)) {',
      '} else if (current === null) {',
    ],
    ['takes back members that were forgotten', 'if (!isPresent(claim)) return null;', ''],
    [
      'never forgets the dead',
      'if (deadAtMs === null || nowMs - deadAtMs < forgetDeadMs) return;',
      'if (nowMs >= 0) return;',
    ],
  ]),
  ...mutantsOf('src/membership/member.ts', MEMBERSHIP, [
    [
      'refutes with the sequence number of the claim',
      'sequence: Math.max(self.sequence, claim.sequence) + 1,',
      'sequence: claim.sequence,',
    ],
    [
      'lets a better state win',
      'return RANK[candidate.state] > RANK[current.state];',
      'return RANK[candidate.state] < RANK[current.state];',
    ],
  ]),
  ...mutantsOf('src/membership/probes.ts', MEMBERSHIP, [
    [
      'takes the answer of any member for that of the target',
      'hostId !== null && hostId !== fromId && !helpers.includes(fromId)',
      'hostId !== null && fromId === helpers[-1]',
    ],
  ]),
  ...mutantsOf('src/membership/rendezvous.ts', MEMBERSHIP, [
    [
      'gives roles to leaving hosts',
      '[...byWeight(key, staying), ...byWeight(key, leaving)]',
      'byWeight(key, [...staying, ...leaving])',
    ],
    [
      'gives roles to dead hosts',
      '({ state }) => state === MemberState.alive || state === MemberState.suspect,',
      '({ state }) => state !== MemberState.leaving,',
    ],
  ]),
];

/** The contract of workers. */
export const WORKER_MUTANTS: readonly Mutant[] = [
  ...mutantsOf('src/standins/workerModel.ts', WORKER, [
    [
      'starts a revoked attempt',
      "known === null ? refusal('revoked') : this.#refusalOf(request)",
      'this.#refusalOf(request)',
    ],
    [
      'starts an attempt twice',
      'if (known) {\n        known.whenEnded(onAnswer);\n        return;\n      }',
      '',
    ],
    ['forgets a revocation', 'this.#attempts.set(attemptId, null);', ''],
    [
      'starts for an old incarnation',
      "if (request.incarnation !== this.incarnation) return refusal('incarnation');",
      '',
    ],
    [
      'revokes for an old incarnation',
      'if (incarnation !== this.incarnation) {',
      'if (incarnation === null) {',
    ],
    ['starts while leaving', "if (this.faults.leaving) return refusal('leaving');", ''],
    ['starts beyond its slots', 'this.#running.size < slots &&', ''],
    ['starts beyond its cores', 'used.cores <= cores &&', ''],
    ['keeps its incarnation over a restart', 'this.#restarts += 1;', ''],
    [
      'never forgets attempts',
      "this.#attempts.delete(this.#settled.shift()?.attemptId ?? '');",
      'this.#settled.shift();',
    ],
  ]),
  ...mutantsOf('src/standins/workerTask.ts', WORKER, [
    [
      'ignores leases',
      "this.#cancelLease = this.#timers.after(leaseLeftMs, () => this.stop('lapsed'));",
      'this.#cancelLease = this.#timers.after(leaseLeftMs, () => undefined);',
    ],
    [
      'goes on after a lease lapsed while frozen',
      "if (this.#leaseEndsAtMs <= this.#clock.nowMs()) this.stop('lapsed');\n    else this.#schedule();",
      'this.#schedule();',
    ],
  ]),
];
