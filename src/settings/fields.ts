/**
 * Zod schemas that turn the text of one INI value into a typed value. The message of each issue is
 * the `expected` part of a finding.
 */
import { isIP } from 'node:net';
import { z } from 'zod';
import { parseAddress } from './address';

const LONGEST_MS = 86_400_000;
const WILDCARDS: ReadonlySet<string> = new Set(['0.0.0.0', '::']);
const NUMBER = /^\d+(\.\d+)?$/;
const WHOLE_NUMBER = /^\d{1,15}$/;

/** Host ids are part of submission keys, whose parts are separated by dots. */
const NAME = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const METRIC_PREFIX = /^[A-Za-z0-9_]+([.-][A-Za-z0-9_]+)*$/;

/** A value that `parse` understands; `parse` gives undefined for anything else. */
export function field<T>(expected: string, parse: (text: string) => T | undefined) {
  return z.string({ error: expected }).transform((text, context): T => {
    const value = parse(text);
    if (value !== undefined) return value;
    context.addIssue({ code: 'custom', message: expected });
    return z.NEVER;
  });
}

function withoutEmpty(text: string): string[] {
  return text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '');
}

/** Whole number within bounds, both included. */
export function wholeNumber(least: number, most: number) {
  return field(`a whole number from ${least} to ${most}`, (text) => {
    const value = Number(text);
    return WHOLE_NUMBER.test(text) && value >= least && value <= most ? value : undefined;
  });
}

/** Duration in milliseconds, up to a day. */
export function durationMs(leastMs = 1) {
  return wholeNumber(leastMs, LONGEST_MS);
}

/** Fraction from 0 to 1. */
export function fraction() {
  return field('a fraction from 0 to 1', (text) =>
    NUMBER.test(text) && Number(text) <= 1 ? Number(text) : undefined,
  );
}

/** Name of a host, service, region or domain. */
export function name() {
  return field('a name of up to 63 lower-case letters, digits and inner hyphens', (text) =>
    NAME.test(text) ? text : undefined,
  );
}

/** Address to listen at. */
export function listenAddress() {
  return field('an IP number and a port, such as 127.0.0.1:7000', (text) =>
    parseAddress(text) === null ? undefined : text,
  );
}

function isReachable(text: string): boolean {
  const address = parseAddress(text);
  return address !== null && !WILDCARDS.has(address.host);
}

/** Address that others connect to, so not a wildcard such as 0.0.0.0. */
export function reachableAddress() {
  return field('the IP number of one host and a port, such as 127.0.0.1:7000', (text) =>
    isReachable(text) ? text : undefined,
  );
}

/** Addresses separated by commas; at least `least`. */
export function addressList(least: number) {
  const expected =
    least > 0
      ? `${least} or more addresses such as 127.0.0.1:7000, separated by commas`
      : 'addresses such as 127.0.0.1:7000, separated by commas';
  return field(expected, (text): readonly string[] | undefined => {
    const addresses = withoutEmpty(text);
    return addresses.length >= least && addresses.every(isReachable) ? addresses : undefined;
  });
}

/** Address that may be left empty, which gives null. */
export function optionalAddress() {
  return field(
    'the IP number of one host and a port, or nothing',
    (text): string | null | undefined => {
      if (text === '') return null;
      return isReachable(text) ? text : undefined;
    },
  );
}

/** URL of a service met over HTTP; its host is an IP number. */
export function httpUrl() {
  return field('a URL such as http://127.0.0.1:9000 with an IP number', (text) => {
    if (!URL.canParse(text)) return undefined;
    const url = new URL(text);
    const host = url.hostname.replace(/^\[|\]$/g, '');
    const plain =
      url.username === '' && url.password === '' && url.search === '' && url.hash === '';
    return url.protocol === 'http:' && plain && isIP(host) > 0
      ? text.replace(/\/+$/, '')
      : undefined;
  });
}

/** Switch of a guard. */
export function onOff() {
  return field('on or off', (text) => {
    if (text === 'on') return true;
    return text === 'off' ? false : undefined;
  });
}

/** One of several words. */
export function oneOf<const W extends string>(words: readonly W[]) {
  return field(`one of ${words.join(', ')}`, (text) => words.find((word) => word === text));
}

/** Fraction of the decisions that are logged; `all` is 1. */
export function sampling() {
  return field('all, or a fraction from 0 to 1', (text) => {
    if (text === 'all') return 1;
    return NUMBER.test(text) && Number(text) <= 1 ? Number(text) : undefined;
  });
}

/** Prefix of metric names. */
export function metricPrefix() {
  return field('letters, digits and underscores, with inner dots and hyphens', (text) =>
    METRIC_PREFIX.test(text) ? text : undefined,
  );
}
