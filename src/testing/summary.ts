import {build as buildHistogram} from 'hdr-histogram-js';
import {Exchange} from './load_generator.js';

/** One line on what callers saw: counts, latency at p50 and p99, and anything lost, cut or swapped. */
export function formatLoadSummary(exchanges: readonly Exchange[]): string {
  const histogram = buildHistogram({numberOfSignificantValueDigits: 3});
  let good = 0;
  let foreign = 0;
  let refused = 0;
  let broken = 0;
  for (const {outcome, tookMs} of exchanges) {
    switch (outcome.kind) {
      case 'answered':
        if (!outcome.isOwnAnswer) foreign += 1;
        else if (outcome.status < 400) good += 1;
        histogram.recordValue(Math.max(1, Math.round(tookMs * 1000)));
        break;
      case 'refused':
        refused += 1;
        break;
      case 'broken':
        broken += 1;
        break;
    }
  }
  const format = (percentile: number) =>
    (histogram.getValueAtPercentile(percentile) / 1000).toFixed(1);
  return (
    `${exchanges.length} requests, ${good} answered whole, ${refused} refused with a reason, ` +
    `${broken} broken transfers, ${foreign} foreign answers; p50 ${format(50)} ms, p99 ${format(99)} ms`
  );
}
