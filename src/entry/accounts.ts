import {IncomingMessage} from 'node:http';
import {hashSecret} from '../hash/index.js';
import {Account, Configuration} from '../config/index.js';

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/i;

type AccountIndex = ReadonlyMap<string, Account>;

// A configuration change that touches no account keeps the same `accounts` object, so its index is reused.
const indexCache = new WeakMap<Configuration['accounts'], AccountIndex>();

/** Looks up client accounts by bearer token; one instance per configuration. */
export class AccountTable {
  private readonly byHash: AccountIndex;

  constructor(config: Configuration) {
    let index = indexCache.get(config.accounts);
    if (!index) {
      const accounts = Object.values(config.accounts);
      index = new Map(accounts.map(account => [account.tokenHash, account]));
      indexCache.set(config.accounts, index);
    }
    this.byHash = index;
  }

  /** Returns the account whose bearer token is in the `authorization` header. */
  find(request: Pick<IncomingMessage, 'headers'>): Account | undefined {
    const match = bearerPattern.exec(request.headers.authorization ?? '');
    return match ? this.byHash.get(hashSecret(match[1])) : undefined;
  }
}
