/**
 * Submission keys. A key names the process incarnation that issued it, the only one that may start
 * the tasks of that submission. A signature protects against damaged and forged keys. Keys expire
 * on the issuer's own monotonic clock, which bounds the memory for finished submissions.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { Err, Ok, type Result } from 'ts-results';
import { Reason } from './job';

const MAC_LENGTH = 16;
const NAME_PATTERN = /^[a-z0-9-]{1,64}$/;
const KEY_PATTERN =
  /^([a-z0-9-]{1,64})\.([a-z0-9-]{1,64})\.([a-z0-9]{1,13})\.([a-z0-9]{1,13})\.([\w-]{16})$/;

/** The fields of a key. Any host can read them, only the issuer can verify them. */
export interface KeyParts {
  readonly hostId: string;
  readonly incarnation: string;
  readonly counter: number;
  /** Time of expiry on the issuer's monotonic clock. */
  readonly expiresAtMs: number;
}

/** Parses a key without verifying it. Null if it is malformed. */
export function parseKey(key: string): KeyParts | null {
  const match = KEY_PATTERN.exec(key);
  if (!match) return null;
  const [, hostId = '', incarnation = '', counter = '', expiry = ''] = match;
  return {
    hostId,
    incarnation,
    counter: parseInt(counter, 36),
    expiresAtMs: parseInt(expiry, 36),
  };
}

/** Issues and verifies the keys of one incarnation. */
export class KeyIssuer {
  readonly #hostId: string;

  readonly #incarnation: string;

  readonly #secret: string;

  readonly #lifetimeMs: number;

  #counter = 0;

  constructor(hostId: string, incarnation: string, secret: string, lifetimeMs: number) {
    if (!NAME_PATTERN.test(hostId) || !NAME_PATTERN.test(incarnation)) {
      throw new RangeError('host id and incarnation take lower-case letters, digits and hyphens');
    }
    if (lifetimeMs <= 0) throw new RangeError('the lifetime of keys must be above 0 ms');
    this.#hostId = hostId;
    this.#incarnation = incarnation;
    this.#secret = secret;
    this.#lifetimeMs = lifetimeMs;
  }

  issue(nowMs: number): string {
    this.#counter += 1;
    const expiry = Math.floor(nowMs + this.#lifetimeMs).toString(36);
    const body = `${this.#hostId}.${this.#incarnation}.${this.#counter.toString(36)}.${expiry}`;
    return `${body}.${this.#sign(body)}`;
  }

  /** Verifies that this incarnation issued the key and that it has not expired. */
  verify(key: string, nowMs: number): Result<KeyParts, Reason> {
    const parts = parseKey(key);
    if (!parts) return Err(Reason.invalidKey);
    if (parts.hostId !== this.#hostId || parts.incarnation !== this.#incarnation) {
      return Err(Reason.issuerUnreachable);
    }
    const bodyLength = key.length - MAC_LENGTH - 1;
    const expected = Buffer.from(this.#sign(key.slice(0, bodyLength)));
    if (!timingSafeEqual(expected, Buffer.from(key.slice(bodyLength + 1)))) {
      return Err(Reason.invalidKey);
    }
    return parts.expiresAtMs <= nowMs ? Err(Reason.keyExpired) : Ok(parts);
  }

  #sign(body: string): string {
    return createHmac('sha256', this.#secret).update(body).digest('base64url').slice(0, MAC_LENGTH);
  }
}
