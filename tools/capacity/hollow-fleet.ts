/**
 * What a hollow fleet is: real processes whose load is made, and its sizes.
 */

import { ChildProcess } from 'node:child_process';
import { Ports } from '../../src/shared/ports/ports';
import { Engine } from '../../src/shared/state/engines';
import { Figures, Rates } from './meter';

/** The sizes of a hollow fleet. */
export interface HollowSizes {
  controllers: number;
  indexers: number;
  /** Nodes that only follow the core, many in a process. */
  nodes: number;
  /** Whole routers, many in a process. */
  routers: number;
  engines: number;
  /** Parts that each engine keeps. */
  holds: number;
  /** Events a second of all engines together. */
  eventsPerS: number;
  /** Engines that are on the platform's list and answer nothing. */
  listed: number;
  changeBoundMs: number;
  /** Whether the edges speak the platform's manner. */
  platform: boolean;
}

/** A fleet without faults, callers or engines. */
export const EMPTY: HollowSizes = {
  controllers: 3,
  indexers: 0,
  nodes: 0,
  routers: 0,
  engines: 0,
  holds: 0,
  eventsPerS: 0,
  listed: 0,
  changeBoundMs: 2000,
  platform: false,
};

/** One process of the fleet. */
export interface HollowProc {
  role: string;
  /** How many nodes, routers or sources share it. */
  holds: number;
  child: ChildProcess;
  ask: (gc: boolean) => Promise<Figures>;
}

/** A fleet that runs. */
export interface Hollow {
  sizes: HollowSizes;
  ports: Ports;
  procs: HollowProc[];
  controllers: { wire: string; http: string }[];
  indexers: { wire: string; http: string }[];
  routerHttp: string[];
  engines: Engine[];
  sample: (ms: number) => Promise<Record<string, Rates[]>>;
  read: (role: string, gc?: boolean) => Promise<Figures[]>;
  until: (within: number, test: () => Promise<boolean>) => Promise<boolean>;
  stop: () => Promise<void>;
}

/** The model and the salt of all hollow parts. */
export const MODEL = 'roster';

export const SALT = 'w:tenant-1';
