import {readFileSync} from 'node:fs';
import {Millis} from '../base/index.js';

const ticksPerSecond = 100; // USER_HZ of Linux

/** CPU time that a process has used, and its resident memory. */
export interface ProcessUsage {
  readonly cpuMs: Millis;
  readonly residentMb: number;
}

/** Reads the resource usage of a process from /proc. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {cpuMs: (ticks * 1000) / ticksPerSecond, residentMb: kb / 1024};
}
