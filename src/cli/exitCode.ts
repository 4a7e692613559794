/** Exit codes of the program, so that scripts can tell why a command did not succeed. */

export const ExitCode = {
  ok: 0,
  failed: 1,
  /** Wrong usage, or a file with findings. */
  findings: 2,
  /** The host did not answer; nothing was changed. */
  unreachable: 3,
  /** Another publication came first. */
  lostRace: 4,
  /** The change may or may not have taken effect. */
  unknown: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
