/**
 * The schema of the settings: the format, default and text of each field, as the settings library reads it.
 */

import { address, addresses, ipOrNone, notNegative, positive, regions, share } from './validators';

/** The fields of the settings. */
export const SETTINGS_SCHEMA = {
  name: { doc: 'this process by name', format: String, default: '' },
  zone: { doc: 'the zone it stands in', format: String, default: 'zone-a' },
  wire: { doc: 'where it listens for our own processes', format: address, default: '' },
  http: { doc: 'where it listens for HTTP', format: address, default: '' },
  bind: {
    doc: 'the IP number it listens at and dials from, where it is another than the one it tells',
    format: ipOrNone,
    default: '',
  },
  seeds: {
    doc: 'addresses of processes first asked for peers',
    format: addresses,
    default: [] as string[],
  },
  founders: {
    doc: 'controllers that found a blank fleet; the seeds where left out',
    format: addresses,
    default: [] as string[],
  },
  data: { doc: 'the data folder', format: String, default: 'data' },
  platform: { doc: 'where the platform lists engines', format: address, default: '' },
  changeBoundMs: {
    doc: 'an acknowledged change takes effect within this',
    format: positive,
    default: 2000,
  },
  leavingBoundMs: {
    doc: 'a leaving engine gets no new work after this',
    format: positive,
    default: 3000,
  },
  weightsBoundMs: {
    doc: 'old weights serve no fresh request after this',
    format: positive,
    default: 12000,
  },
  secondTryShare: {
    doc: "second tries as a share of a service's requests",
    format: share,
    default: 0.18,
  },
  onceKeepMs: {
    doc: 'idempotency keys are kept at least this long',
    format: positive,
    default: 600000,
  },
  indexMostParts: {
    doc: 'parts kept in the trees at the most',
    format: positive,
    default: 2000000,
  },
  placeBy: {
    doc: 'place by the index, or by affinity only',
    format: ['index', 'affinity'],
    default: 'index',
  },
  bodyMostBytes: { doc: 'the largest body taken', format: positive, default: 4194304 },
  dialect: {
    doc: 'how callers, engines, operators and the platform are spoken to',
    format: ['own', 'platform'],
    default: 'own',
  },
  suspends: {
    doc: 'whether the machine may be suspended while its steady clock stands still',
    format: Boolean,
    default: true,
  },
  role: { doc: 'the role that the deployment gives this process', format: String, default: '' },
  region: { doc: 'the region it stands in', format: String, default: '' },
  readiness: {
    doc: 'where it is asked whether it takes connections',
    format: address,
    default: '',
  },
  strict: { doc: 'serve only while the leases of a majority last', format: Boolean, default: true },
  bootstrap: { doc: 'whether this start may found a fleet', format: Boolean, default: true },
  foundBy: {
    doc: 'which founders must be here to found',
    format: ['all', 'majority'],
    default: 'all',
  },
  quorumMember: {
    doc: 'whether its loss counts among those tolerated',
    format: Boolean,
    default: true,
  },
  tolerated: {
    doc: 'machines with a disk that may be lost at once',
    format: notNegative,
    default: 1,
  },
  contactMs: {
    doc: 'bounds hold for machines in touch for this long',
    format: positive,
    default: 3000,
  },
  ackMs: { doc: 'a proper change is acknowledged within this', format: positive, default: 4000 },
  graceMs: {
    doc: 'a process is killed this long after it is told to end',
    format: positive,
    default: 8000,
  },
  transitMs: {
    doc: 'an event of a stream reaches its caller within this',
    format: positive,
    default: 120,
  },
  retryRatio: {
    doc: 'further tries of the whole fleet as a share of requests',
    format: notNegative,
    default: 0.2,
  },
  retryWindowMs: {
    doc: 'the window in which further tries are counted',
    format: positive,
    default: 10000,
  },
  retrySlack: {
    doc: 'further tries that a window allows beside its share',
    format: notNegative,
    default: 5,
  },
  lossSlackMs: {
    doc: 'a connection with a request that was read does not end later than this',
    format: positive,
    default: 200,
  },
  leaseMs: {
    doc: 'holders of a duty do not take turns within this',
    format: positive,
    default: 3000,
  },
  fencing: { doc: 'whether engines refuse lower fences', format: Boolean, default: true },
  catchUpMs: {
    doc: 'a machine that returns counts as lost for this long',
    format: positive,
    default: 4000,
  },
  recoveryMs: {
    doc: 'after a loss of all, requests are served again within this',
    format: positive,
    default: 12000,
  },
  rollbackSlackMs: {
    doc: 'no older version serves this long after a newer one did',
    format: positive,
    default: 250,
  },
  skewMs: { doc: 'how far the times of day may be apart', format: positive, default: 5000 },
  thawSlackMs: {
    doc: 'an order is not counted this long after its sender was thawed',
    format: positive,
    default: 300,
  },
  reuseMs: {
    doc: "an engine's address is not given to another within this",
    format: positive,
    default: 2000,
  },
  revokeMs: { doc: 'a withdrawn key is refused within this', format: positive, default: 5000 },
  toleratedZones: {
    doc: 'zones that may be lost at once, each with all of its machines',
    format: notNegative,
    default: 0,
  },
  evacuateMs: {
    doc: "an evacuated zone's engines get no new work after this",
    format: positive,
    default: 5000,
  },
  mergeMs: {
    doc: 'after a cut has healed, all acknowledged additions to tallies are counted everywhere within this',
    format: positive,
    default: 3000,
  },
  warmUpOvershootRatio: {
    doc: 'requests a second that a cold engine may get, as a ratio to what it bears',
    format: positive,
    default: 1.5,
  },
  warmUpSlack: {
    doc: 'requests a second that a cold engine may get beside that ratio',
    format: notNegative,
    default: 5,
  },
  platformRate: {
    doc: 'calls a second that the platform takes from the whole fleet',
    format: positive,
    default: 50,
  },
  platformLagMs: { doc: "how far the platform's list lags", format: positive, default: 800 },
  memoryMb: { doc: 'memory that the process may use', format: positive, default: 512 },
  maxOpenFiles: {
    doc: 'descriptors that the process may have open',
    format: positive,
    default: 4096,
  },
  cores: { doc: "cores' worth of work that the process gets", format: positive, default: 1 },
  zones: { doc: 'the region of each zone', format: regions, default: {} as Record<string, string> },
};
