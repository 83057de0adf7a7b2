import {IncomingMessage} from 'node:http';
import {hashSecret} from '../base/index.js';
import {Account, Configuration} from '../config/index.js';

const bearerPattern = /^Bearer ([\x21-\x7e]{1,512})$/i;

/** Finds client accounts by bearer token; built anew for each configuration. */
export class AccountTable {
  private readonly byHash: ReadonlyMap<string, Account>;

  constructor(config: Configuration) {
    this.byHash = new Map(
      Object.values(config.accounts).map(account => [
        account.tokenHash,
        account,
      ]),
    );
  }

  /** The account whose token the request carries. */
  find(request: IncomingMessage): Account | undefined {
    const match = bearerPattern.exec(request.headers.authorization ?? '');
    return match ? this.byHash.get(hashSecret(match[1])) : undefined;
  }
}
