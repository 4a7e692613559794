/**
 * Benchmark of membership in virtual time with the encoded sizes of messages: load per host, time
 * to detect a dead host, false suspicions at 1 % message loss, and the cost of one false suspicion.
 * Run `npx tsx src/membership/measure.ts`; it prints a table and JSON. All figures except CPU are
 * deterministic.
 */
import { decodeMessage, encodeMessage } from '../peers';
import { MemberState, type Member } from '../core/messages';
import type { MembershipAction } from './actions';
import { schedulerOf } from './rendezvous';
import { Simulation, type Observer, type Runner } from './simulation';

const HOST_COUNTS = [3, 9, 18, 36, 72];
const DOMAINS = ['sofia-a', 'plovdiv-b', 'varna-c'];
/**
 * Overhead per message of the sender fields of the batch (without the text of host id and
 * incarnation) and of the gRPC and HTTP/2 frames. TCP and IP headers are not counted.
 */
const FRAME_BYTES = 14;
const STEADY_MS = 60_000;
/** Host-hours simulated under loss; the virtual time is this divided by the number of hosts. */
const LOSS_HOST_HOURS = 12;
const LOSS_FRACTION = 0.01;
const TRIALS = 20;
const WARM_UP_MS = 10_000;
const SETTLING_TIME_MS = 3000;

const hostName = (index: number): string => `kiosk-dispatch-${String(index).padStart(2, '0')}`;
const incarnationOf = (index: number): string => `0b2f6c81d4e9${String(index).padStart(4, '0')}`;

const messageBytes = (hostId: string, encoded: number): number =>
  encoded + hostId.length + incarnationOf(0).length + FRAME_BYTES;

const startHosts = (
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
  if (!simulation.agreed()) throw new Error(`${count} hosts did not converge during the warm-up`);
  return simulation;
};

const quantile = (values: readonly number[], fraction: number): number => {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
};

const round = (value: number, digits = 0): number => Number(value.toFixed(digits));

/** Bytes and CPU per host without faults. On average a host receives as much as it sends. */
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
    bytes += messageBytes(hostId, encoded.length);
    messages += 1;
  };
  const simulation = startHosts(count, 1, observe, timed);
  // Waits until the updates caused by the start have been disseminated.
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

/** Time from killing a host until the first and until all other hosts consider it dead. */
const measureDetection = (count: number): object => {
  const firstMs: number[] = [];
  const allMs: number[] = [];
  Array.from({ length: TRIALS }, (_, trial) => trial + 1).forEach((seed) => {
    const simulation = startHosts(count, seed);
    const victim = hostName(seed % count);
    const killedAtMs = simulation.nowMs;
    simulation.kill(victim);
    const considersDead = (hostId: string): boolean =>
      simulation.view(hostId, victim)?.state === MemberState.dead;
    firstMs.push(simulation.run(30_000, () => simulation.hostIds.some(considersDead)) - killedAtMs);
    allMs.push(simulation.run(30_000, () => simulation.hostIds.every(considersDead)) - killedAtMs);
  });
  return {
    detectFirstMedianMs: round(quantile(firstMs, 0.5)),
    detectAllMedianMs: round(quantile(allMs, 0.5)),
    detectAllMaxMs: round(Math.max(...allMs)),
  };
};

/** Rates at which running hosts are suspected or declared dead at 1 % message loss. */
const measureLoss = (count: number): object => {
  const suspicions = new Set<string>();
  const deaths = new Set<string>();
  const recordIncident = (member: Member): void => {
    const incident = `${member.hostId}/${member.sequence}`;
    if (member.state === MemberState.suspect) suspicions.add(incident);
    if (member.state === MemberState.dead) deaths.add(incident);
  };
  const simulation = startHosts(count, 1, (_, action: MembershipAction) => {
    if (action.type === 'membersChanged') action.members.forEach(recordIncident);
  });
  simulation.setLossFraction(LOSS_FRACTION);
  simulation.run((LOSS_HOST_HOURS * 3_600_000) / count);
  return {
    falseSuspicionsPerHostHour: round(suspicions.size / LOSS_HOST_HOURS, 2),
    falseDeathsPerHostHour: round(deaths.size / LOSS_HOST_HOURS, 2),
  };
};

/**
 * Extra bytes, duration and moved scheduler roles caused by one false suspicion, compared with a
 * run of the same seed without it.
 */
const measureSuspicion = (count: number): object => {
  const run = (seed: number, inject: boolean): { bytes: number; ms: number; moved: number } => {
    let bytes = 0;
    let moved = 0;
    // Empty until the suspicion starts; nothing is counted before.
    let schedulers: readonly (string | undefined)[] = [];
    const schedulersOf = (members: readonly Member[]): readonly (string | undefined)[] =>
      DOMAINS.map((domain) => schedulerOf(domain, members)?.hostId);
    const simulation = startHosts(count, seed, (hostId, action) => {
      if (schedulers.length === 0) return;
      if (action.type === 'send')
        bytes += messageBytes(hostId, encodeMessage(action.message).length);
      if (action.type !== 'membersChanged') return;
      if (schedulersOf(action.members).join() !== schedulers.join()) moved += 1;
    });
    // Waits until the updates caused by the start have been disseminated; they would hide the extra
    // bytes.
    simulation.run(STEADY_MS);
    schedulers = schedulersOf(simulation.membership(hostName(0)).members());
    const targetId = schedulers.find((id) => id !== hostName(0)) ?? '';
    const target = simulation.view(hostName(0), targetId);
    const startMs = simulation.nowMs;
    if (inject && target !== null) {
      const updates = [{ ...target, state: MemberState.suspect }];
      const from = { hostId: hostName(1), incarnation: incarnationOf(1) };
      const ping = { type: 'ping', nonce: 1, updates, generation: 0 } as const;
      simulation.callMembership(hostName(0), (membership) =>
        membership.receive(from, ping, startMs),
      );
    }
    const endMs = simulation.run(SETTLING_TIME_MS, () => simulation.agreed());
    simulation.run(SETTLING_TIME_MS - (endMs - startMs));
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
