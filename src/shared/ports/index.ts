/**
 * The ports of a process: all that the core may touch outside itself. `system` has them for a machine, the simulator
 * under virtual time.
 */

export * from './clock';
export * from './disk';
export * from './logger';
export * from './network';
export * from './ports';
export * from './random';
export * from './raw-http';
