const plainPath = /^\/[^%\\]*$/;
const unclear = /\/\/|\/\./;
const encodedSlash = /%2f|%5c|\\/i;

/**
 * Readings of a request path without its query: percent escapes decoded once, empty segments left out. A path with an
 * encoded slash or a backslash has two readings, with these as data and as separators. Undefined for a path with
 * `.` or `..` segments in a reading, and for one that does not begin with a slash: a backend server may resolve such
 * a path to another place than the route it was matched to.
 */
export function parsePath(target: string): readonly string[] | undefined {
  const end = target.search(/[?#]/);
  const path = end < 0 ? target : target.slice(0, end);
  if (plainPath.test(path) && !unclear.test(path)) return [path];
  if (!path.startsWith('/')) return undefined;
  const asData = parseReading(path);
  if (asData === undefined) return undefined;
  if (!encodedSlash.test(path)) return [asData];
  const asSeparator = parseReading(path.replace(/%2f|%5c|\\/gi, '/'));
  return asSeparator === undefined ? undefined : [asData, asSeparator];
}

function parseReading(path: string): string | undefined {
  const segments = path
    .split('/')
    .filter(segment => segment !== '')
    .map(decodeSegment);
  const hasDots = segments.some(segment => segment === '.' || segment === '..');
  return hasDots ? undefined : `/${segments.join('/')}`;
}

// Decodes printable ASCII other than the slash; other escapes cannot be part of a prefix.
function decodeSegment(segment: string): string {
  return segment.replace(/%(2[0-9a-f]|[3-7][0-9a-f])/gi, escape => {
    const char = String.fromCharCode(parseInt(escape.slice(1), 16));
    return char === '/' ? escape : char;
  });
}
