import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers in [0, 1). */
export type Random = () => number;

/** Creates a deterministic source of random numbers from a seed. */
export function makeRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 0x1_0000_0000;
}
