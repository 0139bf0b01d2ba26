/**
 * The closing loss strikes right after the connections of a controller were reset: what it acknowledged in between is on
 * enough disks.
 */

import { PeerChannel } from '../../src/shared/transport/peer-channel';
import { CoreRig } from './deploymentrig';
import { add, losePower, startedCore, totals } from './tallies-rig';

const MERGE_MS = 3000;
const SEEDS = [1, 2, 3, 4];
const ADDITIONS = 20;
const STEP_MS = 1;

/** What of a controller a reset of its connections ends. */
interface ConnectedController {
  connections: { pool: { openChannels: () => PeerChannel[] } };
}

function resetConnections(rig: CoreRig, index: number): void {
  const controller = rig.controllers.get(rig.core[index].name) as unknown as ConnectedController;
  for (const channel of controller.connections.pool.openChannels()) channel.close();
}

/** Guards against LOST: an addition that waits for copies is acknowledged, with its first copy only, as connections end. */
async function resetBeforeTheClosingLoss(): Promise<void> {
  for (const seed of SEEDS) {
    const rig = await startedCore(seed);
    const acknowledged = new Set<number>();
    for (let i = 0; i < ADDITIONS; i++) {
      void add(rig, 0, 't', `id-${i}`, 1).then(noteAnswer.bind(undefined, acknowledged, i));
      await rig.pass(STEP_MS);
      if (i === ADDITIONS / 2) resetConnections(rig, 0);
    }
    await rig.pass(10);
    const count = acknowledged.size;
    await losePower(rig, rig.core, [rig.core[0], rig.core[1 + (seed % 4)]]);
    await rig.pass(2 * MERGE_MS);
    for (const total of await totals(rig, 't')) expect(total).toBeGreaterThanOrEqual(count);
  }
}

function noteAnswer(
  acknowledged: Set<number>,
  index: number,
  heard: { status: number } | undefined,
): void {
  if (heard?.status === 200) acknowledged.add(index);
}

test('what is acknowledged as connections end is on enough disks', resetBeforeTheClosingLoss);
