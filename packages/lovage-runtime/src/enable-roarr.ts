import process from 'node:process';

// Roarr reads this once, when it is imported, and is silent without it.
process.env.ROARR_LOG = 'true';
