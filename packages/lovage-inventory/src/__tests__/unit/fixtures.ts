const HASH_A = `sha256:${'a'.repeat(64)}`;
const HASH_B = `sha256:${'b'.repeat(64)}`;
const HASH_C = `sha256:${'c'.repeat(64)}`;

/** A valid inventory. */
export const INVENTORY = `name: small
dataCentres:
  - {id: north, region: isle}
  - {id: south, region: isle}
services:
  - id: writing
    kind: engine
    models:
      - {id: large, version: '1'}
    workers:
      - {id: w1, dataCentre: north, checksFencing: true}
      - {id: w2, dataCentre: south, checksFencing: false}
  - id: ledger
    kind: plain
    workers:
      - {id: p1, dataCentre: north, checksFencing: false}
customers:
  - {id: alpha, keyHash: '${HASH_A}', share: 3}
  - {id: beta, keyHash: '${HASH_B}'}
operators:
  - {id: desk, keyHash: '${HASH_C}'}
`;

/** Valid rules. */
export const RULES = `nonIdempotent:
  - {service: ledger, operation: grant}
priorities:
  - {customer: alpha, service: writing, priority: 8}
  - {customer: alpha, priority: 7}
  - {service: writing, priority: 2}
objectives:
  - {service: writing, weighs: resume-latency, target: 0.99}
`;

/** An inventory with seven errors. */
export const WRONG_INVENTORY = `name: small
dataCentres:
  - {id: north, region: isle}
  - {id: north, region: isle}
services:
  - id: writing
    kind: engine
    workers:
      - {id: w1, dataCentre: east, checksFencing: true}
      - {id: w1, dataCentre: north, checksFencing: perhaps}
  - id: ledger
    kind: plain
    workers: []
customers:
  - {id: alpha, keyHash: '${HASH_A}', shares: 3}
  - {id: beta, keyHash: '${HASH_A}'}
operators:
  - {id: desk, keyHash: '${HASH_C}'}
`;

/** Rules with three errors. */
export const WRONG_RULES = `nonIdempotent:
  - {service: writing, operation: grant}
priorities:
  - {customer: alpha, priority: 12}
objectives:
  - {service: writing, weighs: resume-latency}
  - {service: writing, weighs: resource-use}
`;
