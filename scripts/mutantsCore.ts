/** Mutations of the rules in src/core. */
import { mutantsOf, type Mutant } from './mutantsTypes';

const TESTS = [
  'test/core/submitter.test.ts',
  'test/core/scheduler.test.ts',
  'test/core/guards.test.ts',
  'test/core/schedulerGuards.test.ts',
];

/** Rules of the submitter and of the tasks it starts. */
export const SUBMITTER_MUTANTS: readonly Mutant[] = [
  ...mutantsOf('src/core/taskRunner.ts', TESTS, [
    [
      'starts elsewhere after an unclear start',
      "} else if (source === 'start') {\n      this.#revoke(attempt, nowMs);",
      "} else if (source === 'start') {\n      this.#handleNotStarted(attempt, 'unclear', nowMs);",
    ],
    [
      'starts elsewhere when a worker stays out of reach',
      "this.#fail(attempt, TaskState.unknown, 'the worker can not be reached', nowMs);",
      'attempt.submission.requeue(attempt.index);\n    this.#callbacks.notStarted(attempt.submission, nowMs);',
    ],
    [
      'fails a job that has been answered once more',
      'const { submission, index } = attempt;\n    if (submission.answer) return;\n    submission.fail(',
      'const { submission, index } = attempt;\n    submission.fail(',
    ],
    [
      'forgets to stop tasks of an answered job',
      "if (attempt) this.#outbox.push({ type: 'stopTask', worker: attempt.worker, attemptId });",
      '',
    ],
    ['never asks again about an unclear start', 'attempt.revokeAtMs <= nowMs', 'nowMs < 0'],
  ]),
  ...mutantsOf('src/core/attempts.ts', TESTS, [
    [
      'accepts a result of another attempt',
      'return this.#byId.get(attemptId);',
      "const task = attemptId.slice(0, attemptId.lastIndexOf('.') + 1);\n    return [...this.#byId.values()].find((each) => each.attemptId.startsWith(task));",
    ],
    ['renews a lease that has lapsed', ' || attempt.leaseUntilMs <= nowMs) return;', ') return;'],
    ['renews leases of answered jobs', '!attempt || attempt.submission.answer ||', '!attempt ||'],
    [
      'renews each lease only once',
      'else byWorker.set(attempt.worker.id, { worker: attempt.worker, attemptIds: [attemptId] });\n    this.#scheduleRenewal(attemptId, nowMs);',
      'else byWorker.set(attempt.worker.id, { worker: attempt.worker, attemptIds: [attemptId] });',
    ],
    [
      'claims grants of other domains',
      '.filter((attempt) => attempt.domain === domain)',
      ".filter((attempt) => attempt.domain !== '')",
    ],
  ]),
  ...mutantsOf('src/core/submission.ts', TESTS, [
    ['asks for slots for retries of answered jobs', 'this.#queue = [];', ''],
    [
      'says "not run" after a start was sent',
      'return this.#startedCount > 0;',
      'return this.#succeededCount > 0;',
    ],
    [
      'counts a refused start as begun',
      'run.state = TaskState.queued;\n    this.#startedCount -= 1;',
      'run.state = TaskState.queued;',
    ],
    [
      'reports a task in progress as not run',
      'return { id, state: TaskState.unknown };',
      'return { id, state: TaskState.notRun };',
    ],
    [
      'starts short tasks first',
      'declaredMs(a) - declaredMs(b) ||',
      'declaredMs(b) - declaredMs(a) ||',
    ],
  ]),
  ...mutantsOf('src/core/submitter.ts', TESTS, [
    [
      'joins a submission with another body',
      "existing.bodyHash !== bodyHash && existing.bodyHash !== ''",
      "existing.bodyHash === '' && bodyHash === ''",
    ],
    [
      'starts a job after half of its deadline',
      'nowMs >= submission.arrivedAtMs + submission.job.deadlineMs * START_DEADLINE_FRACTION',
      'nowMs < 0',
    ],
    ['keeps a job past its deadline', 'kind === DueKind.jobDeadline', 'kind === DueKind.keyExpiry'],
    ['takes new jobs while draining', 'if (this.#draining) return Reason.draining;', ''],
    [
      'forgets a cancellation that came first',
      "const unused = this.#createSubmission(\n        callId,\n        key,\n        PLACEHOLDER_JOB,\n        '',\n        verified.val.expiresAtMs,\n        nowMs,\n      );\n      this.#finishIncomplete(unused, Outcome.cancelled, Reason.cancelled);",
      'this.#responder.refuse(callId, key, Reason.cancelled);',
    ],
    [
      'takes no key into use that it refuses',
      'if (refusal) this.#finishIncomplete(submission, Outcome.refused, refusal);',
      'if (refusal) { this.#finishIncomplete(submission, Outcome.refused, refusal); this.#table.expire(key); }',
    ],
    ['leaves slot requests of answered jobs', 'this.#requester.withdraw(finished);', ''],
    ['uses grants from before a pause', 'this.#requester.reissue(nowMs);', ''],
    [
      'starts overdue work after a pause',
      'resume(nowMs: number): void {\n    this.#handleDeadlines(nowMs);',
      'resume(nowMs: number): void {',
    ],
    [
      'takes non-idempotent work without a key',
      '(policy?.idempotent ? this.#issuer.issue(nowMs) : null)',
      '(policy ? this.#issuer.issue(nowMs) : null)',
    ],
    [
      'claims nothing from a new scheduler',
      'changed.forEach((domain) => this.#sendClaims(domain));',
      '',
    ],
    [
      'expires the key of a running job',
      'if (submission.answer) this.#table.expire(submission.key);\n    else this.#deadlines.add(nowMs + this.#options.taskLeaseMs, submission.key, DueKind.keyExpiry);',
      'this.#table.expire(submission.key);',
    ],
  ]),
  ...mutantsOf('src/core/submissionTable.ts', TESTS, [
    [
      'forgets a submission whose results it drops',
      'this.#dropResults(next.value);',
      'this.#byKey.delete(next.value);',
    ],
    ['drops no results', 'while (this.#bytes > this.#bytesLimit) {', 'while (this.#bytes < 0) {'],
  ]),
  ...mutantsOf('src/core/submissionKey.ts', TESTS, [
    [
      'accepts expired keys',
      'parts.expiresAtMs <= nowMs ? Err(Reason.keyExpired) : Ok(parts)',
      'Ok(parts)',
    ],
    [
      'accepts keys of other incarnations',
      'parts.hostId !== this.#hostId || parts.incarnation !== this.#incarnation',
      'parts.hostId !== this.#hostId',
    ],
    [
      'accepts keys of other hosts',
      'parts.hostId !== this.#hostId || parts.incarnation !== this.#incarnation',
      'parts.incarnation !== this.#incarnation',
    ],
    ['accepts forged keys', '!timingSafeEqual(', "parts.hostId === '' && !timingSafeEqual("],
    ['issues one key twice', 'this.#counter += 1;', ''],
  ]),
  ...mutantsOf('src/core/answers.ts', TESTS, [
    ['calls begun work refused', 'outcome: notRun ? outcome : Outcome.failed,', 'outcome,'],
    [
      'says "not run" of an expired key',
      'new Set([Reason.issuerUnreachable, Reason.keyExpired])',
      'new Set([Reason.issuerUnreachable])',
    ],
    [
      'says "not run" of a reused key',
      'notRun: false, reason: Reason.keyReused',
      'notRun: true, reason: Reason.keyReused',
    ],
  ]),
  ...mutantsOf('src/core/retryBudget.ts', TESTS, [
    ['retries without budget', 'if (this.#tokens < 1) return false;', ''],
  ]),
];

/** Rules of the scheduler, and of the guard against pauses. */
export const SCHEDULER_MUTANTS: readonly Mutant[] = [
  ...mutantsOf('src/core/hostCore.ts', TESTS, [
    [
      'ignores pauses',
      'if (!guards.pauseGuard || gapMs <= pauseGapMs) return;',
      'if (gapMs >= 0) return;',
    ],
    ['grants on after a pause', 'this.#scheduler.suspend();', ''],
  ]),
  ...mutantsOf('src/core/scheduler.ts', TESTS, [
    ['grants while suspended', 'if (!this.#active || this.#suspended ||', 'if (!this.#active ||'],
    [
      'grants without the role',
      'if (!this.#active || this.#suspended ||',
      'if (this.#suspended ||',
    ],
    ['grants before claims have come', ' || nowMs < this.#grantsFromMs) return;', ') return;'],
    ['forgets claims', 'this.#slots.applyClaims(host, message.claims, nowMs);', ''],
    [
      'admits everything',
      'if (!this.#options.guards.admission ||',
      'if (this.#options.guards.admission ||',
    ],
    [
      'queues a repeated request twice',
      'if (this.#queues.has(host, message.requestId)) return;',
      '',
    ],
    ['keeps a restarted worker avoided', 'worker.health.reset();', ';'],
    ['keeps requests of dead hosts', '.forEach((host) => this.#queues.removeHost(host))', ''],
    ['never reclaims grants of dead hosts', 'this.#slots.reclaim(nowMs);', ''],
  ]),
  ...mutantsOf('src/core/workerTable.ts', TESTS, [
    [
      'grants to leaving workers',
      'if (worker.leaving || worker.silent || !worker.status) return 0;',
      'if (worker.silent || !worker.status) return 0;',
    ],
    [
      'grants to workers that do not answer polls',
      'if (worker.leaving || worker.silent || !worker.status) return 0;',
      'if (worker.leaving || !worker.status) return 0;',
    ],
    [
      'prefers no worker on probation',
      'return free > 0 && needsProbationTask ? Infinity : free;',
      'return free;',
    ],
    [
      'ignores resources in use',
      'return fitsTotal(addResources(status, worker.used, -1), resources);',
      'return fitsTotal(status, resources);',
    ],
    [
      'grants more tasks than slots',
      'usableSlots(worker) - worker.usedSlots - worker.untrackedSlots',
      'usableSlots(worker) - worker.untrackedSlots',
    ],
  ]),
  ...mutantsOf('src/core/fairness.ts', TESTS, [
    [
      'ignores shares',
      'if (!this.belowShare(candidate.team, capacity)) return GrantRule.urgency;',
      'if (capacity >= 0) return GrantRule.urgency;',
    ],
    [
      'ignores urgency',
      'return [RANK[rule], urgency, teamRatio, kindRatio];',
      'return [RANK[rule], teamRatio, kindRatio];',
    ],
    [
      'ignores quotas',
      'return quota === null || this.usedByTeam(team) < quota;',
      'return quota === null || quota > 0;',
    ],
  ]),
  ...mutantsOf('src/core/granter.ts', TESTS, [
    [
      'ignores the reserve',
      '(aboveReserve || shares.belowShare(team, capacity))',
      '(aboveReserve || tasks > 0)',
    ],
    [
      'lets long tasks take all slots',
      'longSlots >= capacity * options.longTaskFraction',
      'longSlots < 0',
    ],
  ]),
  ...mutantsOf('src/core/grantLedger.ts', TESTS, [
    ['lets one host release the grant of another', '!record || record.host !== host', '!record'],
    ['reclaims grants at once', 'nowMs - sinceMs >= leaseMs', 'nowMs - sinceMs >= leaseMs * 0'],
    [
      'drops grants under way as unclaimed',
      'nowMs - record.grantedAtMs >= minAgeMs',
      'nowMs - record.grantedAtMs >= minAgeMs * 0',
    ],
  ]),
  ...mutantsOf('src/core/health.ts', TESTS, [
    ['tolerates 50 failures in a row', 'FAILURES_TO_AVOID = 5;', 'FAILURES_TO_AVOID = 50;'],
    [
      'goes on with an unreachable worker',
      'this.#unreachable = true;\n      return this.#avoid(nowMs);',
      'return false;',
    ],
    ['trusts an avoided worker fully', 'if (this.#state === WorkerState.probation) return 1;', ''],
    ['starts new workers at full load', 'Math.min(slots, SLOW_START_LIMIT)', 'slots'],
    [
      'keeps a slow worker at full load',
      'return this.#isSlow() ? Math.max(1, Math.floor(baseLimit / this.#ratio)) : baseLimit;',
      'return baseLimit;',
    ],
    [
      'never doubles the time of avoidance',
      'Math.min(MAX_AVOID_MS, this.#avoidMs * 2)',
      'this.#avoidMs',
    ],
  ]),
];
