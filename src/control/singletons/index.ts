/**
 * Singleton roles and the background tasks of a controller: a role is held by one controller at a time, by a lease with
 * a fencing token; the tasks watch the platform's engines, load weights on them in a rolling way, and retire old ones.
 */

export { startBackgroundTasks } from './background-tasks';
export { makeSingletonLease, SingletonLease } from './singleton-lease';
export { runWeightsRollout } from './weights-rollout';
