/** Parsers of command-line values; a wrong value is a usage error. */
import { InvalidArgumentError, Option } from 'commander';
import { parseAddress } from '../settings/address';

const WHOLE_NUMBER = /^\d{1,15}$/;

/** An address by IP number with a port. */
export function addressArgument(text: string): string {
  if (parseAddress(text) !== null) return text;
  throw new InvalidArgumentError('expected an IP number and a port, such as 127.0.0.1:7002');
}

/** Collects the addresses of an option that may be repeated. */
export function addressesArgument(text: string, previous: readonly string[] = []): string[] {
  return [...previous, addressArgument(text)];
}

/** A whole number of at least `least`. */
export function countArgument(least: number): (text: string) => number {
  return (text) => {
    if (WHOLE_NUMBER.test(text) && Number(text) >= least) return Number(text);
    throw new InvalidArgumentError(`expected a whole number of at least ${least}`);
  };
}

/** The option that names the operator address of a host. */
export function hostOption(): Option {
  return new Option('--host <address>', 'operator address of an entry host').argParser(
    addressArgument,
  );
}

/** The option for output as one JSON document. */
export function jsonOption(): Option {
  return new Option('--json', 'print one JSON document').default(false);
}
