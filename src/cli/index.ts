/** Command line of the program and clients of the HTTP interfaces. */
export type { CallError } from './callError';
export type { DemoOptions, LoadOptions, ProgramContext } from './context';
export { ExitCode } from './exitCode';
export { JobClient } from './jobClient';
export { OperatorClient } from './operatorClient';
export { buildProgram, runProgram } from './program';
export { STANDARD_TERMINAL } from './terminal';
export type { Terminal } from './terminal';
export type { Timer } from './waitInForce';
