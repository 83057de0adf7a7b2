import {DataCentreId, NodeId} from '../base/index.js';
import {NodeRecord} from './node_record.js';

/** Number of data centres that must suspect a node before every entry treats it as unreachable. */
const minReportingDataCentres = 2;

const cache = new WeakMap<readonly NodeRecord[], ReadonlySet<NodeId>>();

/** Returns the nodes suspected from at least two data centres; cached while the roster returns the same array. */
export function findSuspectedNodes(
  records: readonly NodeRecord[],
): ReadonlySet<NodeId> {
  const cached = cache.get(records);
  if (cached) return cached;
  const suspected = computeSuspectedNodes(records);
  cache.set(records, suspected);
  return suspected;
}

type Reporters = ReadonlyMap<NodeId, readonly NodeRecord[]>;

function findReporters(records: readonly NodeRecord[]): Reporters {
  const byNode = new Map(records.map(record => [record.node, record]));
  const reporters = new Map<NodeId, NodeRecord[]>();
  for (const record of records) {
    for (const {node, incarnation} of record.suspicions) {
      const target = byNode.get(node as NodeId);
      const isObsolete = !target || incarnation < target.incarnation;
      if (isObsolete || target.node === record.node) continue;
      const known = reporters.get(target.node) ?? [];
      reporters.set(target.node, [...known, record]);
    }
  }
  return reporters;
}

function pickSuspectedNodes(
  reporters: Reporters,
  ignored: ReadonlySet<NodeId>,
): Set<NodeId> {
  const suspected = new Set<NodeId>();
  for (const [node, records] of reporters) {
    const dataCentres = new Set<DataCentreId>();
    for (const record of records) {
      if (!ignored.has(record.node)) dataCentres.add(record.dataCentre);
    }
    if (dataCentres.size >= minReportingDataCentres) suspected.add(node);
  }
  return suspected;
}

/**
 * Suspicions reported by suspected nodes do not count, which makes the definition recursive. An upper and a lower bound
 * are narrowed in turn until they no longer change; nodes that suspect each other and are suspected by no others stay
 * between the bounds and are not suspected.
 */
function computeSuspectedNodes(records: readonly NodeRecord[]): Set<NodeId> {
  const reporters = findReporters(records);
  let lowerBound = new Set<NodeId>();
  for (;;) {
    const upperBound = pickSuspectedNodes(reporters, lowerBound);
    const nextLowerBound = pickSuspectedNodes(reporters, upperBound);
    if (nextLowerBound.size === lowerBound.size) return nextLowerBound;
    lowerBound = nextLowerBound;
  }
}
