import process from 'node:process';

// Roarr reads this variable once, on import, and writes nothing without it.
process.env.ROARR_LOG = 'true';
