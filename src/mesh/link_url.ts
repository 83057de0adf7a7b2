import {NodeId} from '../base/index.js';

/** Base of the relative URLs that requests for links have. */
const baseUrl = 'ws://node';

/** Makes the URL of the link port of a node. */
export function makeLinkUrl(address: string, node: NodeId): string {
  return `ws://${address}/link?node=${encodeURIComponent(node)}`;
}

/** Whether a request for a link is meant for a node; nodes of earlier versions name none. */
export function isLinkFor(node: NodeId, url = ''): boolean {
  if (!URL.canParse(url, baseUrl)) return false;
  const dialled = new URL(url, baseUrl).searchParams.get('node');
  return dialled === null || dialled === node;
}
