import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

// Fails if a name from the platform's messages occurs in source code outside platform/ and its tests.

const root = fileURLToPath(new URL('../../../', import.meta.url));
const adapterFolder = 'platform';

/** Names that occur in the sources of the adapter: header names, paths of calls, fields in snake case. */
function listPlatformNames(): ReadonlySet<string> {
  const names = new Set<string>();
  for (const file of listFiles(adapterFolder)) {
    const text = readFileSync(join(root, file), 'utf8');
    for (const [, name] of text.matchAll(
      /['"`/](x-[a-z-]+|log-[a-z]+|instances\.[a-z]+|keyed\.[a-z]+)\b/g,
    )) {
      names.add(name.toLowerCase());
    }
    for (const [, name] of text.matchAll(/\b([a-z]+_[a-z_]+):/g)) {
      names.add(name);
    }
  }
  return names;
}

function listFiles(folder: string): readonly string[] {
  return readdirSync(join(root, folder), {
    recursive: true,
    withFileTypes: true,
  })
    .filter(entry => entry.isFile() && entry.name.endsWith('.ts'))
    .map(entry => join(entry.parentPath, entry.name).slice(root.length));
}

/** Excluded from the check, since the settings of the daemon use snake case in TOML for fields of their own. */
const daemonSettingsFile = 'src/daemon/settings.ts';

function findLeaks(): readonly string[] {
  const names = listPlatformNames();
  const files = [...listFiles('src'), ...listFiles('test')].filter(
    file => !file.startsWith('test/platform/') && file !== daemonSettingsFile,
  );
  return files.flatMap(file => {
    const text = readFileSync(join(root, file), 'utf8').toLowerCase();
    return [...names]
      .filter(name => new RegExp(`(?<![a-z_-])${name}(?![a-z_-])`).test(text))
      .map(name => `${file}: ${name}`);
  });
}

const leaks = findLeaks();
for (const leak of leaks)
  console.log(`platform name outside platform/: ${leak}`);
process.exitCode = leaks.length > 0 ? 1 : 0;
