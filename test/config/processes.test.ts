import test from 'ava';
import {Change} from '../../src/config/index.js';
import {LocalFleet, NodeSpec} from '../../src/testing/index.js';
import {setWeight} from './fakes.js';

const dataCentres = ['wien-nord', 'wien-sued', 'noe-tulln'];

function makeNode(index: number): NodeSpec {
  const dataCentre = dataCentres[index];
  return {id: `n${index}`, dataCentre, region: 'ostregion', backends: []};
}

async function createPlanAt(
  fleet: LocalFleet,
  node: string,
  ...changes: Change[]
) {
  const body = {changes};
  const answer = await fleet.callAdmin(node, 'POST', '/v1/plans', body);
  return (answer as {plan: string}).plan;
}

function confirmAt(fleet: LocalFleet, node: string, plan: string) {
  return fleet.callAdmin(node, 'POST', `/v1/plans/${plan}/confirm`, {});
}

async function readWeights(fleet: LocalFleet): Promise<string[]> {
  const ids = [...fleet.nodes.keys()];
  const configs = await Promise.all(
    ids.map(id => fleet.callAdmin(id, 'GET', '/v1/config')),
  );
  return configs.map(config => {
    const {version, partners} = config as {version: number; partners: object};
    return JSON.stringify({version, partners});
  });
}

// Guards against applying the conflicting plans of two operators both, or differently on different nodes, as happens if
// only the node that receives the call checks for conflicts. Every second round loses a reply of the log.
test('the first of two operators wins on all nodes', async t => {
  const fleet = await LocalFleet.start([0, 1, 2].map(makeNode));
  try {
    for (let round = 1; round <= 6; round += 1) {
      const plans = await Promise.all([
        createPlanAt(fleet, 'n0', setWeight('verlag', round * 2)),
        createPlanAt(fleet, 'n1', setWeight('verlag', round * 2 + 1)),
      ]);
      if (round % 2 === 0) await fleet.setLogFaults({loseReplies: 1});
      const results = await Promise.allSettled([
        confirmAt(fleet, 'n0', plans[0]),
        confirmAt(fleet, 'n1', plans[1]),
      ]);
      const rejected = results.filter(result => result.status === 'rejected');
      t.is(rejected.length, 1);
      t.regex(
        String(rejected[0].reason),
        /partner:verlag was changed.*plan anew/,
      );
      await fleet.waitUntil('one configuration', 6000, async () => {
        const weights = await readWeights(fleet);
        return weights.every(text => text === weights[0]);
      });
    }
  } finally {
    await fleet.stop();
  }
});

// Guards against a node that opens its port with an empty configuration, and against one that requires the log although
// its peers have the configuration.
test('with the log down a node starts from its peers, and without them it waits', async t => {
  const fleet = await LocalFleet.start([0, 1, 2].map(makeNode));
  try {
    const plan = await createPlanAt(fleet, 'n0', setWeight('verlag', 3));
    await confirmAt(fleet, 'n0', plan);
    await fleet.waitUntil('in force at n1', 6000, async () =>
      (await readWeights(fleet)).every(text => text.includes('"weight":3')),
    );
    await fleet.setLogFaults({down: true});
    const n2 = fleet.getNode('n2');
    n2.process.kill('SIGKILL');
    await n2.process.ended;
    await fleet.startNode('n2');
    t.regex((await readWeights(fleet))[2], /"weight":3/);

    for (const {process} of fleet.nodes.values()) process.kill('SIGKILL');
    await Promise.all([...fleet.nodes.values()].map(n => n.process.ended));
    const serving = fleet.startNode('n2');
    const {lines} = fleet.getNode('n2').process;
    await fleet.waitUntil('the reason is logged', 8000, () =>
      lines.some(line => line.includes('not serving callers')),
    );
    t.false(lines.some(line => line.includes('"msg":"serving"')));
    await fleet.setLogFaults({down: false});
    await serving;
    const config = await fleet.callAdmin('n2', 'GET', '/v1/config');
    t.like(config, {partners: {verlag: {weight: 3}}});
  } finally {
    await fleet.stop();
  }
});
