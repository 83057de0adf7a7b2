import {
  AccountId,
  asId,
  ConflictError,
  InvalidInputError,
  PartnerId,
} from '../base/index.js';
import {ChangeOf} from './change_codec.js';
import {Account} from './configuration.js';
import {ConfigDraft} from './config_draft.js';
import {checkId, checkInteger} from './validation.js';

/** Adds a partner or changes its weight. */
export function setPartner(
  draft: ConfigDraft,
  change: ChangeOf<'set-partner'>,
): void {
  const id = asId<PartnerId>(change.partner);
  checkId('partner', id);
  checkInteger('weight', change.weight);
  draft.set('partners', id, {id, weight: change.weight});
}

/** Removes a partner; refused while an account refers to it. */
export function removePartner(
  draft: ConfigDraft,
  change: ChangeOf<'remove-partner'>,
): void {
  const id = asId<PartnerId>(change.partner);
  if (!draft.get('partners', id)) {
    throw new ConflictError(`partner ${id} does not exist; correct the name`);
  }
  const account = draft.list('accounts').find(item => item.partner === id);
  if (account) {
    throw new ConflictError(
      `account ${account.id} belongs to partner ${id}; remove the account first`,
    );
  }
  draft.remove('partners', id);
}

/** Adds an account; refused if another account has the same token. */
export function addAccount(
  draft: ConfigDraft,
  change: ChangeOf<'add-account'>,
): void {
  const id = asId<AccountId>(change.account);
  const partner = asId<PartnerId>(change.partner);
  checkId('account', id);
  if (draft.get('accounts', id)) {
    throw new ConflictError(
      `account ${id} exists; use set-limit, or remove it first`,
    );
  }
  if (!draft.get('partners', partner)) {
    throw new ConflictError(
      `partner ${partner} does not exist; use set-partner first`,
    );
  }
  if (!/^[0-9a-f]{64}$/.test(change.tokenHash)) {
    throw new InvalidInputError(
      'tokenHash: not a hex SHA-256; give the 64 lower-case hex digits of the hashed token',
    );
  }
  const other = draft.findAccount(change.tokenHash);
  if (other) {
    throw new ConflictError(
      `account ${other} has the same token; give each account its own`,
    );
  }
  const limits = {
    ratePerSecond: change.ratePerSecond ?? 0,
    concurrency: change.concurrency ?? 0,
  };
  checkAccountLimits(limits);
  const account = {id, partner, tokenHash: change.tokenHash, ...limits};
  draft.set('accounts', id, account);
}

function checkAccountLimits(
  limits: Pick<Account, 'ratePerSecond' | 'concurrency'>,
): void {
  checkInteger('ratePerSecond', limits.ratePerSecond);
  checkInteger('concurrency', limits.concurrency);
}

function getAccount(draft: ConfigDraft, name: string): Account {
  const account = draft.get('accounts', asId<AccountId>(name));
  if (account) return account;
  throw new ConflictError(`account ${name} does not exist; correct the name`);
}

/** Removes an account. */
export function removeAccount(
  draft: ConfigDraft,
  change: ChangeOf<'remove-account'>,
): void {
  draft.remove('accounts', getAccount(draft, change.account).id);
}

/** Sets the rate and concurrency limits of an account. */
export function setLimit(
  draft: ConfigDraft,
  change: ChangeOf<'set-limit'>,
): void {
  const account = getAccount(draft, change.account);
  const {ratePerSecond, concurrency} = change;
  checkAccountLimits({ratePerSecond, concurrency});
  draft.set('accounts', account.id, {...account, ratePerSecond, concurrency});
}
