import {writeFileSync} from 'node:fs';
import {dirname} from 'node:path';
import {cac} from 'cac';
import {runProgram} from '../base/index.js';
import {buildBundle} from './bundle.js';

const cli = cac('bundle');
cli
  .command(
    '<entry> <output>',
    'Join a compiled program and its packages into one CommonJS file',
  )
  .example('  bundle target/src/sidecar/main.js target/sidecar.cjs')
  .action((entry: string, output: string) =>
    writeFileSync(output, buildBundle(entry, dirname(output))),
  );
cli.help();

await runProgram('bundle', cli);
