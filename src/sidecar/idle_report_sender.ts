import {Random, ServiceId} from '../base/index.js';
import {reportedEntries, WantedRequests} from '../dispatch/index.js';
import {Peer} from '../mesh/index.js';

/** Reports to entries, drawn at random from all nodes, that the backend server of this VM is idle. */
export function sendIdleReports(
  peers: readonly Peer[],
  report: {readonly service: ServiceId; readonly wanted: WantedRequests},
  recordOwn: () => void,
  random: Random,
): void {
  const entries = peers.filter(
    ({channel, acceptsIdleReports}) => channel && acceptsIdleReports,
  );
  for (let sent = 0; sent < reportedEntries; sent += 1) {
    // One more than there are peers: the last one stands for the entry of this node.
    const entry = entries.at(Math.floor(random() * (entries.length + 1)));
    if (entry) entry.channel?.send({kind: 'idle', ...report});
    else recordOwn();
  }
}
