import {spawnSync} from 'node:child_process';
import {cpSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parse} from 'smol-toml';

// Mutation tests: breaks one mechanism at a time in a copy of the compiled program and runs the test that covers it,
// which must fail. Usage: node dist/src/testing/break.js [NAME...]; the mutations are listed in test/breaks.toml.

interface Mutation {
  readonly name: string;
  /** Compiled file, below dist/. */
  readonly file: string;
  /** Text that must occur exactly once in the file. */
  readonly find: string;
  readonly replace: string;
  /** Compiled test file, below dist/. */
  readonly proof: string;
  /** Part of the title of the test that must fail. */
  readonly title: string;
}

const root = fileURLToPath(new URL('../../../', import.meta.url));
const brokenFolder = 'dist-broken';

function readMutations(names: readonly string[]): readonly Mutation[] {
  const text = readFileSync(`${root}test/breaks.toml`, 'utf8');
  const {break: all} = parse(text) as unknown as {break: readonly Mutation[]};
  return names.length === 0
    ? all
    : all.filter(mutation => names.includes(mutation.name));
}

function applyMutation({name, file, find, replace}: Mutation): void {
  rmSync(root + brokenFolder, {recursive: true, force: true});
  cpSync(`${root}dist`, root + brokenFolder, {recursive: true});
  const path = `${root}${brokenFolder}/${file}`;
  const text = readFileSync(path, 'utf8');
  const count = text.split(find).length - 1;
  if (count !== 1) {
    throw new Error(`${name}: "${find}" occurs ${count} times in ${file}`);
  }
  writeFileSync(
    path,
    text.replace(find, () => replace),
  );
}

/** Runs the test on the mutated copy; returns whether it failed. */
function runCoveringTest({proof, title}: Mutation): boolean {
  const result = spawnSync(
    process.execPath,
    [
      `${root}node_modules/ava/entrypoints/cli.mjs`,
      '--tap',
      `--match=*${title}*`,
      `${brokenFolder}/${proof}`,
    ],
    {
      cwd: root,
      encoding: 'utf8',
      env: {...process.env, AVA_FILES: `${brokenFolder}/${proof}`},
    },
  );
  if (!/^(not )?ok \d+/m.test(result.stdout)) {
    throw new Error(`no test ran: ${result.stdout}${result.stderr}`);
  }
  return /^not ok \d+/m.test(result.stdout);
}

/** Number of mutations that no test has detected. */
let survivors = 0;
const mutations = readMutations(process.argv.slice(2));
for (const item of mutations) {
  applyMutation(item);
  const failed = runCoveringTest(item);
  if (!failed) survivors += 1;
  console.log(`${failed ? 'red' : 'STILL GREEN'}: ${item.name}: ${item.title}`);
}
rmSync(root + brokenFolder, {recursive: true, force: true});
console.log(
  `${mutations.length - survivors} of ${mutations.length} breaks turn their proof red`,
);
process.exitCode = survivors === 0 ? 0 : 1;
