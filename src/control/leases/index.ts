/**
 * The leases that routers and indexers hold at a controller, which keep their configuration fresh: granted only to a
 * node that has applied all that is learned here. Changes are sent to the holders as differences, one message in flight
 * to each, and as offers of chunks where they are long.
 */

export { LeaseRequest } from './lease-messages';
export { LeaseRegistry, RouterProgress } from './lease-registry';
export { makeVersionHistory, VersionHistory } from './version-history';
