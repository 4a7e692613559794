/**
 * Zod schemas that parse the text of one INI value into a typed value. The message of each Zod
 * issue becomes the `expected` field of a finding.
 */
import { isIP } from 'node:net';
import { z } from 'zod';
import { parseAddress } from './address';

const MAX_DURATION_MS = 86_400_000;
const WILDCARD_HOSTS: ReadonlySet<string> = new Set(['0.0.0.0', '::']);
const DECIMAL = /^\d+(\.\d+)?$/;
const INTEGER = /^\d{1,15}$/;

/** Excludes dots, because host ids are part of submission keys, which use dots as separators. */
const DNS_LABEL = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const METRIC_PREFIX = /^[A-Za-z0-9_]+([.-][A-Za-z0-9_]+)*$/;

/** Schema of a value parsed by `parse`, which returns undefined for invalid text. */
export function field<T>(expected: string, parse: (text: string) => T | undefined) {
  return z.string({ error: expected }).transform((text, context): T => {
    const value = parse(text);
    if (value !== undefined) return value;
    context.addIssue({ code: 'custom', message: expected });
    return z.NEVER;
  });
}

/** Splits a comma-separated list and drops empty items. */
function splitList(text: string): string[] {
  return text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '');
}

/** Non-negative integer from `min` to `max`, inclusive. */
export function wholeNumber(min: number, max: number) {
  return field(`a whole number from ${min} to ${max}`, (text) => {
    const value = Number(text);
    return INTEGER.test(text) && value >= min && value <= max ? value : undefined;
  });
}

/** Duration in milliseconds, at most one day. */
export function durationMs(minMs = 1) {
  return wholeNumber(minMs, MAX_DURATION_MS);
}

/** Fraction from 0 to 1. */
export function fraction() {
  return field('a fraction from 0 to 1', (text) =>
    DECIMAL.test(text) && Number(text) <= 1 ? Number(text) : undefined,
  );
}

/** Name of a host, service, region or domain, in the form of a lower-case DNS label. */
export function name() {
  return field('a name of up to 63 lower-case letters, digits and inner hyphens', (text) =>
    DNS_LABEL.test(text) ? text : undefined,
  );
}

/** Address to listen on; wildcards such as 0.0.0.0 are allowed. */
export function listenAddress() {
  return field('an IP number and a port, such as 127.0.0.1:7000', (text) =>
    parseAddress(text) === null ? undefined : text,
  );
}

function isReachable(text: string): boolean {
  const address = parseAddress(text);
  return address !== null && !WILDCARD_HOSTS.has(address.host);
}

/** Address that other processes connect to. Wildcards such as 0.0.0.0 are rejected. */
export function reachableAddress() {
  return field('the IP number of one host and a port, such as 127.0.0.1:7000', (text) =>
    isReachable(text) ? text : undefined,
  );
}

/** Comma-separated list of at least `min` addresses. */
export function addressList(min: number) {
  const expected =
    min > 0
      ? `${min} or more addresses such as 127.0.0.1:7000, separated by commas`
      : 'addresses such as 127.0.0.1:7000, separated by commas';
  return field(expected, (text): readonly string[] | undefined => {
    const addresses = splitList(text);
    return addresses.length >= min && addresses.every(isReachable) ? addresses : undefined;
  });
}

/** Address that may be empty; an empty value is parsed as null. */
export function optionalAddress() {
  return field(
    'the IP number of one host and a port, or nothing',
    (text): string | null | undefined => {
      if (text === '') return null;
      return isReachable(text) ? text : undefined;
    },
  );
}

/**
 * Base URL of an HTTP service, whose host is an IP address. Credentials, a query and a fragment are
 * rejected; trailing slashes are removed.
 */
export function httpUrl() {
  return field('a URL such as http://127.0.0.1:9000 with an IP number', (text) => {
    if (!URL.canParse(text)) return undefined;
    const url = new URL(text);
    const host = url.hostname.replace(/^\[|\]$/g, '');
    const hasNoExtraParts =
      url.username === '' && url.password === '' && url.search === '' && url.hash === '';
    return url.protocol === 'http:' && hasNoExtraParts && isIP(host) > 0
      ? text.replace(/\/+$/, '')
      : undefined;
  });
}

/** Boolean written as `on` or `off`. */
export function onOff() {
  return field('on or off', (text) => {
    if (text === 'on') return true;
    return text === 'off' ? false : undefined;
  });
}

/** Enumeration of the given words. */
export function oneOf<const W extends string>(words: readonly W[]) {
  return field(`one of ${words.join(', ')}`, (text) => words.find((word) => word === text));
}

/** Sampling rate as a fraction; `all` is parsed as 1. */
export function sampling() {
  return field('all, or a fraction from 0 to 1', (text) => {
    if (text === 'all') return 1;
    return DECIMAL.test(text) && Number(text) <= 1 ? Number(text) : undefined;
  });
}

export function metricPrefix() {
  return field('letters, digits and underscores, with inner dots and hyphens', (text) =>
    METRIC_PREFIX.test(text) ? text : undefined,
  );
}
