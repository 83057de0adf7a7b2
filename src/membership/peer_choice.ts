import {DataCentreId, NodeId, rankByRendezvous} from '../base/index.js';
import {NodeRecord} from './node_record.js';

const ownDataCentrePeers = 2;
const otherPeers = 3;

/**
 * Peers that a node dials: 2 in its data centre and 3 elsewhere, of which at least 1 is in another region and at
 * least 2 are in different data centres. What a small fleet lacks is left out. `avoid` tells nodes that get a
 * substitute.
 */
export function choosePeers(
  self: NodeRecord,
  records: readonly NodeRecord[],
  avoid: (node: NodeId) => boolean,
): readonly NodeRecord[] {
  const byNode = new Map(records.map(record => [record.node, record]));
  const names = records
    .filter(({node, state}) => node !== self.node && state === 'serving')
    .map(record => record.node)
    .filter(node => !avoid(node));
  const ranked = rankByRendezvous(self.node, names).map(
    node => byNode.get(node) as NodeRecord,
  );
  const near = ranked.filter(r => r.dataCentre === self.dataCentre);
  const far = ranked.filter(r => r.dataCentre !== self.dataCentre);
  return [...near.slice(0, ownDataCentrePeers), ...pickOther(self, far)];
}

function pickOther(
  self: NodeRecord,
  ranked: readonly NodeRecord[],
): readonly NodeRecord[] {
  const first = ranked.find(r => r.region !== self.region) ?? ranked[0];
  if (!first) return [];
  const rest = ranked.filter(record => record !== first);
  const taken: DataCentreId = first.dataCentre;
  const second = rest.find(r => r.dataCentre !== taken) ?? rest[0];
  const third = rest.find(record => record !== second);
  return [first, second, third]
    .filter((record): record is NodeRecord => record !== undefined)
    .slice(0, otherPeers);
}
