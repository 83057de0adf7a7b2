import {DataCentreId, NodeId} from '../base/index.js';
import {rankByRendezvous} from '../hash/index.js';
import {NodeRecord} from './node_record.js';

const localPeerCount = 2;
const remotePeerCount = 3;

/**
 * Chooses the peers that a node dials: 2 in its data centre and 3 in others, of which at least 1 is in another region
 * and at least 2 are in different data centres. A small fleet may have fewer. Nodes for which `avoid` returns true are
 * replaced by others.
 */
export function choosePeers(
  self: NodeRecord,
  records: readonly NodeRecord[],
  avoid: (node: NodeId) => boolean,
): readonly NodeRecord[] {
  const byNode = new Map(records.map(record => [record.node, record]));
  const candidates = records
    .filter(({node, state}) => node !== self.node && state === 'serving')
    .map(record => record.node)
    .filter(node => !avoid(node));
  const ranked = rankByRendezvous(self.node, candidates).map(
    node => byNode.get(node) as NodeRecord,
  );
  const local = ranked.filter(r => r.dataCentre === self.dataCentre);
  const remote = ranked.filter(r => r.dataCentre !== self.dataCentre);
  return [...local.slice(0, localPeerCount), ...pickRemotePeers(self, remote)];
}

function pickRemotePeers(
  self: NodeRecord,
  ranked: readonly NodeRecord[],
): readonly NodeRecord[] {
  const first = ranked.find(r => r.region !== self.region) ?? ranked[0];
  if (!first) return [];
  const rest = ranked.filter(record => record !== first);
  const firstDataCentre: DataCentreId = first.dataCentre;
  const second = rest.find(r => r.dataCentre !== firstDataCentre) ?? rest[0];
  const third = rest.find(record => record !== second);
  return [first, second, third]
    .filter((record): record is NodeRecord => record !== undefined)
    .slice(0, remotePeerCount);
}
