import {DataCentreId, NodeId} from '../base/index.js';
import {NodeRecord} from './node_record.js';

/** Data centres that must agree before a node counts as unreachable for every entry. */
const witnessesNeeded = 2;

const cache = new WeakMap<readonly NodeRecord[], ReadonlySet<NodeId>>();

/** Nodes suspected from at least two data centres; cached for as long as the roster gives the same array. */
export function findSuspectedNodes(
  records: readonly NodeRecord[],
): ReadonlySet<NodeId> {
  const cached = cache.get(records);
  if (cached) return cached;
  const suspected = computeSuspected(records);
  cache.set(records, suspected);
  return suspected;
}

type Witnesses = ReadonlyMap<NodeId, readonly NodeRecord[]>;

function findWitnesses(records: readonly NodeRecord[]): Witnesses {
  const byNode = new Map(records.map(record => [record.node, record]));
  const witnesses = new Map<NodeId, NodeRecord[]>();
  for (const record of records) {
    for (const {node, incarnation} of record.suspicions) {
      const target = byNode.get(node as NodeId);
      const isVoid = !target || incarnation < target.incarnation;
      if (isVoid || target.node === record.node) continue;
      const known = witnesses.get(target.node) ?? [];
      witnesses.set(target.node, [...known, record]);
    }
  }
  return witnesses;
}

function pickSuspected(
  witnesses: Witnesses,
  ignored: ReadonlySet<NodeId>,
): Set<NodeId> {
  const suspected = new Set<NodeId>();
  for (const [node, records] of witnesses) {
    const dataCentres = new Set<DataCentreId>();
    for (const record of records) {
      if (!ignored.has(record.node)) dataCentres.add(record.dataCentre);
    }
    if (dataCentres.size >= witnessesNeeded) suspected.add(node);
  }
  return suspected;
}

/**
 * Suspected nodes are no witnesses, which makes the rule refer to itself. The upper bound and the lower bound are
 * narrowed in turn; nodes that suspect each other without a third opinion stay between them and are not suspected.
 */
function computeSuspected(records: readonly NodeRecord[]): Set<NodeId> {
  const witnesses = findWitnesses(records);
  let certain = new Set<NodeId>();
  for (;;) {
    const possible = pickSuspected(witnesses, certain);
    const next = pickSuspected(witnesses, possible);
    if (next.size === certain.size) return next;
    certain = next;
  }
}
