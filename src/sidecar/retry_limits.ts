import {ServiceId} from '../base/index.js';
import {RetryLimits} from '../dispatch/index.js';
import {Peer} from '../mesh/index.js';
import {RetryBudgetSettings} from './settings.js';

/** Fraction of the retry limits that guards use; the rest covers calls made by retried runs, which guards cannot detect. */
const retryBudgetFraction = 0.45;

/** Computes the share of a service's retry limits that one guard may use. */
export function computeRetryLimits(
  service: ServiceId,
  peers: readonly Peer[],
  {ratio, windowMs, extra}: RetryBudgetSettings,
): RetryLimits {
  const guards = peers.filter(
    ({guard}) => guard.kind === 'open' && guard.service === service,
  );
  return {
    ratio: ratio * retryBudgetFraction,
    windowMs,
    extra: (extra * retryBudgetFraction) / (guards.length + 1),
  };
}
