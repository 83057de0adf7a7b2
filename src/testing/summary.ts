import {build as buildHistogram} from 'hdr-histogram-js';
import {Exchange} from './load_generator.js';

/** Formats the outcomes for callers in one line: counts, broken transfers, mismatched responses, latency percentiles. */
export function formatLoadSummary(exchanges: readonly Exchange[]): string {
  const histogram = buildHistogram({numberOfSignificantValueDigits: 3});
  let succeeded = 0;
  let mismatched = 0;
  let refused = 0;
  let broken = 0;
  for (const {outcome, tookMs} of exchanges) {
    switch (outcome.kind) {
      case 'answered':
        if (!outcome.isIntact) mismatched += 1;
        else if (outcome.status < 400) succeeded += 1;
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
    `${exchanges.length} requests, ${succeeded} answered completely, ${refused} refused with a reason, ` +
    `${broken} broken transfers, ${mismatched} mismatched responses; p50 ${format(50)} ms, p99 ${format(99)} ms`
  );
}
