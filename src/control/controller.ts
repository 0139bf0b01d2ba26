/**
 * Starts a controller: opens its storage, wires its components, and serves.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../shared/errors/errors';
import { makeMetrics, Metrics, timedDisk } from '../shared/observability/metrics';
import { Ports } from '../shared/ports/ports';
import { timeLimitsOf } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { DocumentParser } from './configuration/deployment-change';
import { Controller } from './controller-interface';
import { ControllerNode } from './controller-node';
import { openControlStore, ControlStore } from './storage/control-store';
import { StoredVotes, readStoredVotes } from './storage/vote-files';

export type { Controller } from './controller-interface';

/** The log of control keys is compacted above this size. */
const MAX_LOG_BYTES = 1 << 20;

/** Opened storage of a controller. */
interface ControllerStorage {
  store: ControlStore;
  storedVotes: StoredVotes;
}

/**
 * Starts a controller. `parser` reads the deployment documents of a platform; without one the controller serves
 * intents. The error is that of a disk that can't be read or of an address that can't be listened on.
 */
export async function startController(
  ports: Ports,
  settings: Settings,
  parser?: DocumentParser,
): Promise<Result<Controller>> {
  const metrics = makeMetrics();
  const measuredPorts = withMeasuredDisk(ports, settings, metrics);
  const [storageError, storage] = errorOrValue(await openStorage(measuredPorts, settings));
  if (storageError) return Left(storageError);
  const node = new ControllerNode({
    ports: measuredPorts,
    settings,
    metrics,
    parser,
    ...storage,
  });
  const [error] = errorOrValue(await node.start());
  return error ? Left(error) : Right(node);
}

/** The ports with a disk whose synced writes are measured. */
function withMeasuredDisk(ports: Ports, settings: Settings, metrics: Metrics): Ports {
  const observeSyncMs = metrics.times(
    'plumhollow_controller_sync_ms',
    'time of a synced write',
    settings.changeBoundMs,
  );
  return { ...ports, disk: timedDisk(ports.disk, ports.clock, observeSyncMs) };
}

/** Reads the votes first: they tell whose disk this was, which the store needs to know. */
async function openStorage(ports: Ports, settings: Settings): Promise<Result<ControllerStorage>> {
  const [votesError, storedVotes] = errorOrValue(await readStoredVotes(ports));
  if (votesError) return Left(votesError);
  const { requestTimeoutMs } = timeLimitsOf(settings);
  const [storeError, store] = errorOrValue(
    await openControlStore(ports, MAX_LOG_BYTES, storedVotes, requestTimeoutMs),
  );
  return storeError ? Left(storeError) : Right({ store, storedVotes });
}
