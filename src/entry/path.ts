const plainPath = /^\/[^%\\]*$/;
const dotOrEmptySegment = /\/\/|\/\./;
const encodedSlash = /%2f|%5c|\\/i;

/**
 * Normalized forms of a request path without its query: percent escapes are decoded once and empty segments removed.
 * A path with an encoded slash or a backslash has two interpretations: these characters may be data or separators.
 * Undefined if an interpretation has `.` or `..` segments, or if the path does not begin with a slash: a backend server
 * might resolve such a path to a place outside the route that it was matched to.
 */
export function parsePathInterpretations(
  target: string,
): readonly string[] | undefined {
  const end = target.search(/[?#]/);
  const path = end < 0 ? target : target.slice(0, end);
  if (plainPath.test(path) && !dotOrEmptySegment.test(path)) return [path];
  if (!path.startsWith('/')) return undefined;
  const asData = parseInterpretation(path);
  if (asData === undefined) return undefined;
  if (!encodedSlash.test(path)) return [asData];
  const asSeparator = parseInterpretation(path.replace(/%2f|%5c|\\/gi, '/'));
  return asSeparator === undefined ? undefined : [asData, asSeparator];
}

function parseInterpretation(path: string): string | undefined {
  const segments = path
    .split('/')
    .filter(segment => segment !== '')
    .map(decodeSegment);
  const hasDots = segments.some(segment => segment === '.' || segment === '..');
  return hasDots ? undefined : `/${segments.join('/')}`;
}

// Decodes printable ASCII except the slash; other escapes cannot occur in a route's path prefix.
function decodeSegment(segment: string): string {
  return segment.replace(/%(2[0-9a-f]|[3-7][0-9a-f])/gi, escape => {
    const char = String.fromCharCode(parseInt(escape.slice(1), 16));
    return char === '/' ? escape : char;
  });
}
