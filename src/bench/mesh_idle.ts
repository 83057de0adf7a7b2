import {
  asId,
  DataCentreId,
  BatchingLogger,
  NodeId,
  openSilentLogger,
  systemClock,
} from '../base/index.js';
import {Mesh, MeshHandlers} from '../mesh/index.js';

// Measures CPU time and memory of idle links between many nodes in one process.
// Usage: node dist/src/bench/mesh_idle.js NODES SECONDS

const MS_PER_S = 1000;
const US_PER_MS = 1000;
const basePort = 19_400;
const settleMs = 4000;

function makeHandlers(node: NodeId, address: string): MeshHandlers {
  const handleNothing = () => undefined;
  return {
    makeHello: () => ({
      kind: 'hello',
      node,
      incarnation: 1,
      address,
      dataCentre: asId<DataCentreId>('z'),
      isJoined: true,
      routingVersion: 1,
      guard: {kind: 'closed', reason: 'no-server'},
    }),
    onEntryMessage: handleNothing,
    onGuardMessage: handleNothing,
    onPeerUp: handleNothing,
    onPeerDown: handleNothing,
    onGuardChange: handleNothing,
    onIdleReport: () => undefined,
    onHeard: () => undefined,
    onActiveExchanges: handleNothing,
    onRoutingVersion: handleNothing,
    onRoutingRequest: handleNothing,
    onRoutingDocument: handleNothing,
  };
}

async function runIdleMesh(count: number, seconds: number): Promise<void> {
  const stop = new AbortController();
  const before = process.memoryUsage().rss;
  const nodes = Array.from({length: count}, (_, index) => ({
    node: asId<NodeId>(`n${index}`),
    address: `127.0.2.${index + 1}`,
    linkAddress: `127.0.2.${index + 1}:${basePort}`,
  }));
  const meshes = nodes.map(
    ({node, address, linkAddress}) =>
      new Mesh(
        {node, address, port: basePort},
        makeHandlers(node, linkAddress),
        systemClock,
        Math.random,
        openSilentLogger(),
        new BatchingLogger(systemClock, openSilentLogger()),
      ),
  );
  for (const mesh of meshes) await mesh.start(stop.signal);
  meshes.forEach((mesh, index) => {
    for (const other of nodes.slice(0, index)) {
      mesh.addNode(other.node, other.linkAddress);
    }
  });
  await systemClock.sleep(settleMs);
  const linked = meshes.reduce((sum, mesh) => sum + mesh.countLinkedNodes(), 0);
  const start = process.cpuUsage();
  await systemClock.sleep(seconds * MS_PER_S);
  const {user, system} = process.cpuUsage(start);
  const grownBytes = process.memoryUsage().rss - before;
  const cpuUsPerSecond = (user + system) / seconds;
  console.log(
    `${count} nodes, ${linked} link ends: ` +
      `${(cpuUsPerSecond / US_PER_MS / linked).toFixed(3)} ms a second and link end, ` +
      `${(grownBytes / linked / 1024).toFixed(1)} KiB a link end`,
  );
  stop.abort();
}

const [count = '20', seconds = '10'] = process.argv.slice(2);
await runIdleMesh(Number(count), Number(seconds));
process.exit(0);
