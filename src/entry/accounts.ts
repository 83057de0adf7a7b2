import {IncomingMessage} from 'node:http';
import {hashSecret} from '../base/index.js';
import {Account, Configuration} from '../config/index.js';

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/i;

type AccountIndex = ReadonlyMap<string, Account>;

// A change that touches no account keeps the table of accounts, and with it the index.
const indexes = new WeakMap<Configuration['accounts'], AccountIndex>();

/** Finds client accounts by bearer token; built anew for each configuration. */
export class AccountTable {
  private readonly byHash: AccountIndex;

  constructor(config: Configuration) {
    let index = indexes.get(config.accounts);
    if (!index) {
      const accounts = Object.values(config.accounts);
      index = new Map(accounts.map(account => [account.tokenHash, account]));
      indexes.set(config.accounts, index);
    }
    this.byHash = index;
  }

  /** The account whose token the request carries. */
  find(request: Pick<IncomingMessage, 'headers'>): Account | undefined {
    const match = bearerPattern.exec(request.headers.authorization ?? '');
    return match ? this.byHash.get(hashSecret(match[1])) : undefined;
  }
}
