export type {ErrorKind} from './exit-codes.js';
export {EXIT_CODES, EXIT_OK} from './exit-codes.js';
export type {Host} from './host.js';
export {runCommandLine} from './run-command-line.js';
