import {existsSync, readFileSync, realpathSync} from 'node:fs';
import {builtinModules, createRequire} from 'node:module';
import {dirname, join, relative} from 'node:path';
import ts from 'typescript';
import {InvalidInputError, parseJson} from '../base/index.js';

interface BundledModule {
  readonly path: string;
  readonly code: string;
  /** Index of the module for each specifier that the code requires. */
  readonly imports: Readonly<Record<string, number>>;
}

const builtins: ReadonlySet<string> = new Set(
  builtinModules.flatMap(name => [name, `node:${name}`]),
);
const requirePattern = /\brequire\(\s*(['"])([^'"]+)\1\s*\)/g;

/** Loads a module of the bundle once, at its first `require`. */
const loader = `
const loaded = [];
const nodeRequire = require;
const {join, dirname} = nodeRequire('node:path');
const {pathToFileURL} = nodeRequire('node:url');
function load(index) {
  if (loaded[index]) return loaded[index].exports;
  const module = (loaded[index] = {exports: {}});
  const [run, imports, path] = modules[index];
  const file = join(__dirname, path);
  const requireModule = name =>
    Object.hasOwn(imports, name) ? load(imports[name]) : nodeRequire(name);
  run.call(module.exports, module, module.exports, requireModule, file, dirname(file), pathToFileURL(file).href);
  return module.exports;
}
load(0);
`;

/**
 * Joins a program and the packages that it imports into one CommonJS file, so that a start reads one file instead of
 * hundreds. `outputDirectory` is the directory of that file. Throws InvalidInputError if a module of the program cannot
 * be found or awaits at its top level.
 */
export function buildBundle(entry: string, outputDirectory: string): string {
  const graph = new ModuleGraph();
  graph.add(realpathSync(entry));
  const modules = graph
    .list()
    .map(
      ({path, code, imports}) =>
        `[function(module,exports,require,__filename,__dirname,__moduleUrl){${code}\n},` +
        `${JSON.stringify(imports)},${JSON.stringify(relative(outputDirectory, path))}]`,
    );
  return `const modules = [\n${modules.join(',\n')}\n];\n${loader}`;
}

/** The modules that a program reaches, each with its index. */
class ModuleGraph {
  private readonly indexes = new Map<string, number>();
  private readonly modules: BundledModule[] = [];

  /** Adds a module and all that it requires; returns its index. */
  add(path: string): number {
    const known = this.indexes.get(path);
    if (known !== undefined) return known;
    const index = this.indexes.size;
    this.indexes.set(path, index);
    const code = readAsCommonJs(path);
    const imports: Record<string, number> = {};
    for (const [, , name] of code.matchAll(requirePattern)) {
      const target = builtins.has(name) ? undefined : findModule(name, path);
      if (target) imports[name] = this.add(target);
    }
    this.modules[index] = {path, code, imports};
    return index;
  }

  list(): readonly BundledModule[] {
    return this.modules;
  }
}

/**
 * Finds the file of a required name. Returns undefined for a native addon, and for a name that a package requires but
 * that is not installed: packages catch the error of an optional dependency.
 */
function findModule(name: string, from: string): string | undefined {
  try {
    const path = createRequire(from).resolve(name);
    return path.endsWith('.node') ? undefined : realpathSync(path);
  } catch (error) {
    if (from.includes('node_modules')) return undefined;
    throw new InvalidInputError(
      `${from}: module ${name} is not found; install the packages or correct the import`,
      {cause: error},
    );
  }
}

function readAsCommonJs(path: string): string {
  const source = readFileSync(path, 'utf8')
    .replace(/^#!.*/, '')
    .replace(/^\/\/# sourceMappingURL=.*$/gm, '');
  if (path.endsWith('.json')) return `module.exports = ${source}`;
  if (!isEsModule(path)) return source;
  if (/^(const [^=]*= )?await /m.test(source)) {
    throw new InvalidInputError(
      `${path}: a bundle cannot await at the top level of a module; await inside a function`,
    );
  }
  const {outputText} = ts.transpileModule(source, {
    compilerOptions: {
      module: ts.ModuleKind.CommonJS,
      target: ts.ScriptTarget.ES2022,
      esModuleInterop: true,
    },
  });
  return outputText.replaceAll('import.meta.url', '__moduleUrl');
}

function isEsModule(path: string): boolean {
  if (path.endsWith('.mjs')) return true;
  if (path.endsWith('.cjs')) return false;
  let directory = dirname(path);
  while (!existsSync(join(directory, 'package.json'))) {
    const parent = dirname(directory);
    if (parent === directory) return false;
    directory = parent;
  }
  const manifest = parseJson(
    readFileSync(join(directory, 'package.json'), 'utf8'),
  ) as {type?: string} | undefined;
  return manifest?.type === 'module';
}
