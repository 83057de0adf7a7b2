import {EjectionRule} from './configuration.js';

/** Names of the predefined ejection rules. */
export type PresetName = 'careful' | 'prompt';

/** Ejection rules: `careful` gives priority to few false ejections, `prompt` to fast detection. */
export const presets: Readonly<Record<PresetName, EjectionRule>> = {
  careful: {
    failureThreshold: 16,
    slowThreshold: 14.4,
    slowFactor: 3,
    slowFloorMs: 50,
    ejectMs: 10_000,
    maxEjectMs: 300_000,
    probationMs: 20_000,
    commonCauseShare: 0.34,
  },
  prompt: {
    failureThreshold: 9.6,
    slowThreshold: 8,
    slowFactor: 3,
    slowFloorMs: 30,
    ejectMs: 5_000,
    maxEjectMs: 120_000,
    probationMs: 10_000,
    commonCauseShare: 0.34,
  },
};
