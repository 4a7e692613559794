/** Waits until a configuration generation is in force at every member. */
import type { GenerationInForce } from '../host/operatorService';
import type { CallError } from './callError';
import { ExitCode } from './exitCode';
import type { OperatorClient } from './operatorClient';
import type { Terminal } from './terminal';

const POLL_MS = 200;

/** Hosts out of reach are waited for this long once all others have the generation in force. */
const UNREACHABLE_GRACE_MS = 2000;

/** Time as the commands see it. */
export interface Timer {
  nowMs(): number;
  sleep(ms: number): Promise<void>;
}

/** What was known at the end of the wait. */
export interface WaitOutcome {
  readonly exitCode: ExitCode;
  readonly hosts: number;
  /** Ids of hosts with an older generation. */
  readonly behind: readonly string[];
  /** Ids of hosts that did not tell their generation. */
  readonly unreachable: readonly string[];
  /** Set if the host that was asked did not answer at the end. */
  readonly error?: CallError;
}

function outcomeOf(members: readonly GenerationInForce[], generation: number): WaitOutcome {
  const unreachable = members.filter((member) => member.generation === null);
  const behind = members.filter((member) => (member.generation ?? generation) < generation);
  const ids = (list: readonly GenerationInForce[]) => list.map(({ hostId }) => hostId);
  let exitCode: ExitCode = ExitCode.ok;
  if (unreachable.length > 0) exitCode = ExitCode.unreachable;
  if (behind.length > 0) exitCode = ExitCode.failed;
  return { exitCode, hosts: members.length, behind: ids(behind), unreachable: ids(unreachable) };
}

async function ask(client: OperatorClient, generation: number): Promise<WaitOutcome> {
  const members = await client.inForce();
  if (members.ok) return outcomeOf(members.val, generation);
  const error = members.val;
  return { exitCode: error.exitCode, hosts: 0, behind: [], unreachable: [], error };
}

/**
 * Asks until the generation is in force everywhere or `limitMs` has passed. Hosts that stay out of
 * reach, such as dead ones, hold it up for 2 s only; they are named in the outcome.
 */
export async function waitInForce(
  client: OperatorClient,
  generation: number,
  limitMs: number,
  timer: Timer,
  terminal: Terminal,
): Promise<WaitOutcome> {
  let endMs = timer.nowMs() + limitMs;
  let settled = false;
  let shown = '';

  function shortenWait(outcome: WaitOutcome): void {
    const settles = outcome.error === undefined && outcome.behind.length === 0;
    if (settles && !settled) endMs = Math.min(endMs, timer.nowMs() + UNREACHABLE_GRACE_MS);
    settled ||= settles;
  }

  async function poll(): Promise<WaitOutcome> {
    const outcome = await ask(client, generation);
    const missing = outcome.behind.length + outcome.unreachable.length;
    const line =
      outcome.error === undefined
        ? `generation ${generation}: in force at ${outcome.hosts - missing} of ${outcome.hosts} hosts`
        : `generation ${generation}: ${outcome.error.message}`;
    if (line !== shown) terminal.progress(line);
    shown = line;
    shortenWait(outcome);
    if (outcome.exitCode === ExitCode.ok || timer.nowMs() >= endMs) return outcome;
    await timer.sleep(POLL_MS);
    return poll();
  }

  return poll();
}
