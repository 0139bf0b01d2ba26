/**
 * The ports of a gateway that a test starts.
 */

import { once } from 'node:events';
import net from 'node:net';
import { sendRequest, startGatewayFixture } from './gateway-fixture';

/** A test failed before it began, since its port was taken between a probe and its use, and did not tell so. */
async function tellsTakenAddress(): Promise<void> {
  const holder = net.createServer();
  holder.listen(0, '127.0.0.1');
  await once(holder, 'listening');
  const http = `127.0.0.1:${(holder.address() as net.AddressInfo).port}`;
  try {
    await expect(startGatewayFixture({ settings: { http } })).rejects.toThrow(/EADDRINUSE.*:\d+/);
  } finally {
    holder.close();
  }
}

/** Each gateway has ports of its own from the time that it listens. */
async function hasPortsOfItsOwn(): Promise<void> {
  const rigs = [await startGatewayFixture({}), await startGatewayFixture({})];
  const addresses = new Set<string>();
  for (const rig of rigs) addresses.add(rig.address).add(rig.readinessAddress);
  expect(addresses.size).toBe(4);
  for (const rig of rigs) expect((await sendRequest(rig.address)).status).toBe(503);
  for (const rig of rigs) await rig.close();
}

test('a gateway whose port is taken tells the address and the reason', tellsTakenAddress);
test('gateways of tests listen at ports that the system chooses', hasPortsOfItsOwn);
