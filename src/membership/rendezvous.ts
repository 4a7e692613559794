/**
 * Assigns roles by rendezvous hashing (highest random weight; Thaler and Ravishankar 1998). Hosts
 * with the same member list assign the same roles, and a membership change moves only the roles of
 * the members that changed. Results are cached per member array; `Membership` returns the same
 * array until something changes.
 */
import { hashOf } from '../core/hash';
import { MemberState, type Member } from '../core/messages';

const RELAY_COUNT = 2;

/** Rankings by role and domain; hashing all members for each slot request would be too slow. */
const rankings = new WeakMap<readonly Member[], Map<string, readonly Member[]>>();

const byWeight = (role: string, members: readonly Member[]): readonly Member[] =>
  members
    .map((member) => ({ member, weight: hashOf(`${role}/${member.hostId}`) }))
    .sort((a, b) => b.weight - a.weight || (a.member.hostId < b.member.hostId ? -1 : 1))
    .map(({ member }) => member);

/** Hosts of a domain that are not dead, by descending weight; leaving hosts come last. */
const ranked = (role: string, domain: string, members: readonly Member[]): readonly Member[] => {
  const key = `${role}/${domain}`;
  const results = rankings.get(members) ?? new Map<string, readonly Member[]>();
  rankings.set(members, results);
  const known = results.get(key);
  if (known !== undefined) return known;
  const local = members.filter((member) => member.domain === domain);
  const staying = local.filter(
    ({ state }) => state === MemberState.alive || state === MemberState.suspect,
  );
  const leaving = local.filter(({ state }) => state === MemberState.leaving);
  const result = [...byWeight(key, staying), ...byWeight(key, leaving)];
  results.set(key, result);
  return result;
};

/**
 * The scheduler of a domain, or null if the domain has no host. A leaving host is chosen only if
 * there is no other.
 */
export const schedulerOf = (domain: string, members: readonly Member[]): Member | null =>
  ranked('scheduler', domain, members)[0] ?? null;

/** The relays of a domain: two, or fewer if the domain has fewer hosts. */
export const relaysOf = (domain: string, members: readonly Member[]): readonly Member[] =>
  ranked('relay', domain, members).slice(0, RELAY_COUNT);
