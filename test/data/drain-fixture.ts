/** Gateways that are told to end while a clock that a test moves stands still. */

import {
  deployment,
  GatewayFixture,
  route,
  startGatewayFixture,
  startStandIn,
} from './gateway-fixture';
import { Settings } from '../../src/shared/settings/settings';
import { heldStreams, HeldStreams } from './held-streams';
import { ManualClock, manualClock } from '../shared/manual-clock';

/** The times of the rig's gateway, in ms. */
export const GRACE_MS = 8000;
/** Its `contactMs`. */
export const CONTACT_MS = 3000;

/** A gateway with one engine that holds its answers until they are let go. */
export interface HeldRig {
  rig: GatewayFixture;
  clock: ManualClock;
  streams: HeldStreams;
}

/** Starts a gateway whose one route has so much time; engines that are silent have not begun on what they hold. */
export async function startHeldRig(
  timeoutMs: number,
  isSilent = false,
  settings: Partial<Settings> = {},
): Promise<HeldRig> {
  const clock = manualClock();
  const streams = heldStreams(isSilent);
  const rig = await startGatewayFixture({
    engines: [await startStandIn('e1', streams.answer)],
    deployment: deployment([route({ timeoutMs })]),
    settings: { graceMs: GRACE_MS, contactMs: CONTACT_MS, ...settings },
    clock,
  });
  return { rig, clock, streams };
}
