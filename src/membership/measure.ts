/**
 * Measures membership in virtual time with encoded sizes: load per host, detection of a dead host,
 * false suspicions at 1 % loss, and the cost of one. Run `npx tsx src/membership/measure.ts`; it
 * prints a table and JSON. All but the CPU figures are the same in every run.
 */
import { decodeMessage, encodeMessage } from '../peers';
import { MemberState, type Member } from '../core/messages';
import type { MembershipAction } from './actions';
import { schedulerOf } from './rendezvous';
import { Simulation, type Observer, type Runner } from './simulation';

const HOST_COUNTS = [3, 9, 18, 36, 72];
const DOMAINS = ['sofia-a', 'plovdiv-b', 'varna-c'];
/** Host id and incarnation in the batch, and the frames of gRPC and HTTP/2; without TCP and IP. */
const FRAME_BYTES = 14;
const STEADY_MS = 60_000;
/** Virtual time of the loss run is chosen to give this for each number of hosts. */
const LOSS_HOST_HOURS = 12;
const LOSS_FRACTION = 0.01;
const TRIALS = 20;
const WARM_UP_MS = 10_000;
const SETTLE_MS = 3000;

const hostName = (index: number): string => `kiosk-dispatch-${String(index).padStart(2, '0')}`;
const incarnationOf = (index: number): string => `0b2f6c81d4e9${String(index).padStart(4, '0')}`;

const bytesOf = (hostId: string, encoded: number): number =>
  encoded + hostId.length + incarnationOf(0).length + FRAME_BYTES;

const startFleet = (
  count: number,
  seed: number,
  observe?: Observer,
  runner?: Runner,
): Simulation => {
  const simulation = new Simulation(seed, observe, runner);
  const seeds = [0, 1, 2].map(hostName);
  Array.from({ length: count }, (_, index) => index).forEach((index) =>
    simulation.start(hostName(index), incarnationOf(index), seeds, DOMAINS[index % 3]),
  );
  simulation.run(WARM_UP_MS);
  if (!simulation.agreed()) throw new Error(`${count} hosts did not agree after the warm-up`);
  return simulation;
};

const quantile = (values: readonly number[], fraction: number): number => {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
};

const round = (value: number, digits = 0): number => Number(value.toFixed(digits));

/** Bytes and CPU per host without faults; sent and received are equal on average. */
const measureSteady = (count: number): object => {
  let bytes = 0;
  let messages = 0;
  let busyMs = 0;
  let active = false;
  const timed = <T>(call: () => T): T => {
    const start = performance.now();
    const result = call();
    if (active) busyMs += performance.now() - start;
    return result;
  };
  const observe: Observer = (hostId, action) => {
    if (action.type !== 'send' || !active) return;
    const encoded = timed(() => encodeMessage(action.message));
    timed(() => decodeMessage(encoded));
    bytes += bytesOf(hostId, encoded.length);
    messages += 1;
  };
  const simulation = startFleet(count, 1, observe, timed);
  // Until the updates of the start have been passed on.
  simulation.run(STEADY_MS);
  active = true;
  simulation.run(STEADY_MS);
  const hostSeconds = (count * STEADY_MS) / 1000;
  return {
    sentBytesPerSecond: round(bytes / hostSeconds),
    totalBytesPerSecond: round((2 * bytes) / hostSeconds),
    messagesPerSecond: round(messages / hostSeconds, 1),
    cpuPercent: round(busyMs / hostSeconds / 10, 3),
  };
};

/** Time from a host's death until the first and the last survivor hold it for dead. */
const measureDetection = (count: number): object => {
  const firstMs: number[] = [];
  const allMs: number[] = [];
  Array.from({ length: TRIALS }, (_, trial) => trial + 1).forEach((seed) => {
    const simulation = startFleet(count, seed);
    const victim = hostName(seed % count);
    const killedAtMs = simulation.nowMs;
    simulation.kill(victim);
    const seesDead = (hostId: string): boolean =>
      simulation.view(hostId, victim)?.state === MemberState.dead;
    firstMs.push(simulation.run(30_000, () => simulation.hostIds.some(seesDead)) - killedAtMs);
    allMs.push(simulation.run(30_000, () => simulation.hostIds.every(seesDead)) - killedAtMs);
  });
  return {
    detectFirstMedianMs: round(quantile(firstMs, 0.5)),
    detectAllMedianMs: round(quantile(allMs, 0.5)),
    detectAllMaxMs: round(Math.max(...allMs)),
  };
};

/** Suspicions and deaths that were declared of running hosts, at 1 % loss. */
const measureLoss = (count: number): object => {
  const suspicions = new Set<string>();
  const deaths = new Set<string>();
  const note = (member: Member): void => {
    const incident = `${member.hostId}/${member.sequence}`;
    if (member.state === MemberState.suspect) suspicions.add(incident);
    if (member.state === MemberState.dead) deaths.add(incident);
  };
  const simulation = startFleet(count, 1, (_, action: MembershipAction) => {
    if (action.type === 'membersChanged') action.members.forEach(note);
  });
  simulation.lose(LOSS_FRACTION);
  simulation.run((LOSS_HOST_HOURS * 3_600_000) / count);
  return {
    falseSuspicionsPerHostHour: round(suspicions.size / LOSS_HOST_HOURS, 2),
    falseDeathsPerHostHour: round(deaths.size / LOSS_HOST_HOURS, 2),
  };
};

/** Extra bytes, duration and moved roles of one false suspicion, against a run without it. */
const measureSuspicion = (count: number): object => {
  const run = (seed: number, inject: boolean): { bytes: number; ms: number; moved: number } => {
    let bytes = 0;
    let moved = 0;
    // Empty until the suspicion begins.
    let schedulers: readonly (string | undefined)[] = [];
    const rolesOf = (members: readonly Member[]): readonly (string | undefined)[] =>
      DOMAINS.map((domain) => schedulerOf(domain, members)?.hostId);
    const simulation = startFleet(count, seed, (hostId, action) => {
      if (schedulers.length === 0) return;
      if (action.type === 'send') bytes += bytesOf(hostId, encodeMessage(action.message).length);
      if (action.type !== 'membersChanged') return;
      if (rolesOf(action.members).join() !== schedulers.join()) moved += 1;
    });
    // Until the updates of the start have been passed on; they would hide the extra bytes.
    simulation.run(STEADY_MS);
    schedulers = rolesOf(simulation.membership(hostName(0)).members());
    const targetId = schedulers.find((id) => id !== hostName(0)) ?? '';
    const target = simulation.view(hostName(0), targetId);
    const startMs = simulation.nowMs;
    if (inject && target !== null) {
      const updates = [{ ...target, state: MemberState.suspect }];
      const from = { hostId: hostName(1), incarnation: incarnationOf(1) };
      const ping = { type: 'ping', nonce: 1, updates, generation: 0 } as const;
      simulation.perform(hostName(0), (membership) => membership.receive(from, ping, startMs));
    }
    const endMs = simulation.run(SETTLE_MS, () => simulation.agreed());
    simulation.run(SETTLE_MS - (endMs - startMs));
    return { bytes, ms: endMs - startMs, moved };
  };
  const results = Array.from({ length: TRIALS }, (_, trial) => {
    const suspicion = run(trial + 1, true);
    return { ...suspicion, bytes: suspicion.bytes - run(trial + 1, false).bytes };
  });
  return {
    suspicionMedianMs: round(
      quantile(
        results.map(({ ms }) => ms),
        0.5,
      ),
    ),
    suspicionExtraBytesPerHost: round(
      results.reduce((sum, { bytes }) => sum + bytes, 0) / TRIALS / count,
    ),
    suspicionRolesMoved: results.reduce((sum, { moved }) => sum + moved, 0),
  };
};

const rows = HOST_COUNTS.map((hosts) => ({
  hosts,
  ...measureSteady(hosts),
  ...measureDetection(hosts),
  ...measureLoss(hosts),
  ...measureSuspicion(hosts),
}));
const columns = Object.keys(rows[0] ?? {});
const lines = [columns, ...rows.map((row) => Object.values(row).map(String))];
process.stdout.write(`${lines.map((line) => line.join(' | ')).join('\n')}\n`);
process.stdout.write(`${JSON.stringify({ node: process.version, rows }, null, 2)}\n`);
