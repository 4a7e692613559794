/**
 * Membership in virtual time: bytes of its messages per host and second, quiet and while hosts come and
 * go, at several numbers of hosts. Encoded bytes; what gRPC adds is measured by `slopesWire`. All runs
 * are identical. `src/membership/measure.ts` adds CPU, detection times and false suspicions.
 */
import { encodeMessage } from '../peers';
import { Simulation } from '../membership/simulation';
import { rowOf, type SlopeRow } from './slopesRow';

const GROUP = 'membership';
const HOSTS = [3, 9, 18, 36, 72];
const SEEDS = [1];
const SETTLE_MS = 20_000;
const MEASURE_MS = 60_000;

/** Traffic of one run, per host and second. */
export interface MembershipRate {
  readonly bytesPerS: number;
  readonly messagesPerS: number;
}

/** Bytes and messages that one host sends a second; it receives as many. */
export function membershipRate(hosts: number, seed: number, restarts: number): MembershipRate {
  let bytes = 0;
  let messages = 0;
  const simulation = new Simulation(seed, (_hostId, action) => {
    if (action.type !== 'send') return;
    bytes += encodeMessage(action.message).length;
    messages += 1;
  });
  const names = Array.from({ length: hosts }, (_, index) => `sofia-a-${index + 1}`);
  const seeds = names.slice(0, 3);
  names.forEach((name) => simulation.start(name, '6f1d2c3b4a59', seeds, 'sofia-a'));
  simulation.run(SETTLE_MS);
  bytes = 0;
  messages = 0;
  for (let count = 0; count < restarts; count += 1) {
    simulation.start(names[count % hosts] ?? '', `6f1d2c3b4a5${count}`, seeds, 'sofia-a');
    simulation.run(MEASURE_MS / restarts);
  }
  if (restarts === 0) simulation.run(MEASURE_MS);
  const hostSeconds = hosts * (MEASURE_MS / 1000);
  return { bytesPerS: bytes / hostSeconds, messagesPerS: messages / hostSeconds };
}

function rowsOf(hosts: number, restarts: number): readonly SlopeRow[] {
  const rates = SEEDS.map((seed) => membershipRate(hosts, seed, restarts));
  const state = restarts === 0 ? 'quiet' : `${restarts} restarts a minute`;
  const name = `${hosts} hosts, ${state}, sent by each`;
  const bytes = rates.map(({ bytesPerS }) => bytesPerS);
  const messages = rates.map(({ messagesPerS }) => messagesPerS);
  return [rowOf(GROUP, name, 'bytes/s', bytes), rowOf(GROUP, name, 'messages/s', messages)];
}

/** All rows of membership. */
export function membershipRows(): readonly SlopeRow[] {
  return HOSTS.flatMap((hosts) => [...rowsOf(hosts, 0), ...rowsOf(hosts, 6)]);
}
