import { errorOrValue } from '../../src/shared/errors/errors';
import { PeerChannel, openChannel } from '../../src/shared/transport/peer-channel';
import { Hello, PROTOCOL_VERSION } from '../../src/shared/transport/hello';
import { HelloHandlers } from '../../src/shared/transport/hello-handlers';
import { maintainConnection } from '../../src/shared/transport/maintained-connection';
import { Connection, Message } from '../../src/shared/ports/network';
import { makeNet } from '../../tools/sim/simwire';
import { makeWorld } from '../../tools/sim/simworld';

function hello(version: number, more: object = {}): Hello {
  return { version, name: `v${version}`, role: 'router', at: '', zone: '', ...more };
}

async function met(version: number): Promise<{ up: boolean; code?: string; name?: string }> {
  const w = makeWorld(1, false);
  const net = makeNet(w);
  const server = net.ports(w.proc('server', '127.10.1.1'));
  const client = net.ports(w.proc('client', '127.10.1.2'));
  const at = '127.10.1.1:7000';
  let up: PeerChannel | undefined;
  let code: string | undefined;
  function taken(s: Connection): void {
    openChannel(server, s, [new HelloHandlers(hello(PROTOCOL_VERSION))]);
  }
  function onUp(ex: PeerChannel): void {
    up = ex;
  }
  await server.network.listen(at, taken);
  const held = maintainConnection(client, at, {
    hello: hello(version, { flavour: 'from another version' }),
    handlers: [],
    timeoutMs: 100,
    retryPauseMs: 100,
    onUp,
  });
  async function askPlainly(): Promise<void> {
    const [, s] = errorOrValue(await client.network.connect(at, 100));
    const [f] = errorOrValue(
      await openChannel(client, s!, []).request('hello', hello(version), 100),
    );
    code = f?.code;
  }
  void askPlainly();
  await w.run(1000);
  held.stop();
  return { up: up !== undefined, code, name: up?.hello?.name };
}

async function versions(): Promise<void> {
  expect(await met(PROTOCOL_VERSION)).toEqual({ up: true, code: undefined, name: 'v1' });
  expect(await met(PROTOCOL_VERSION + 1)).toEqual({ up: true, code: undefined, name: 'v1' });
  expect(await met(PROTOCOL_VERSION + 2)).toEqual({
    up: false,
    code: 'wire-version',
    name: undefined,
  });
}

async function frozenPeer(): Promise<void> {
  const w = makeWorld(2, false);
  const net = makeNet(w);
  const p = w.proc('server', '127.10.1.1');
  const server = net.ports(p);
  const client = net.ports(w.proc('client', '127.10.1.2'));
  const at = '127.10.1.1:7000';
  function taken(s: Connection): void {
    openChannel(server, s, [new HelloHandlers(hello(PROTOCOL_VERSION))]);
  }
  await server.network.listen(at, taken);
  const held = maintainConnection(client, at, {
    hello: hello(PROTOCOL_VERSION),
    handlers: [],
    timeoutMs: 400,
    retryPauseMs: 200,
  });
  await w.run(1000);
  expect(held.channel()).toBeDefined();
  w.freeze(p);
  await w.run(3000);
  expect(held.channel()).toBeUndefined();
  w.wake(p);
  await w.run(5000);
  expect(held.channel()).toBeDefined();
  held.stop();
}

async function malformedError(): Promise<void> {
  const w = makeWorld(3, false);
  const net = makeNet(w);
  const server = net.ports(w.proc('server', '127.10.1.1'));
  const client = net.ports(w.proc('client', '127.10.1.2'));
  const at = '127.10.1.1:7000';
  function respondsBadly(connection: Connection): void {
    function respond({ id, type }: Message): void {
      connection.send({ re: id, ...(type === 'whole' ? { body: 7 } : { fault: type }) });
    }
    void connection.messages.observe(respond);
  }
  await server.network.listen(at, respondsBadly);
  const replies: unknown[] = [];
  async function requestAll(): Promise<void> {
    const [, connection] = errorOrValue(await client.network.connect(at, 100));
    const channel = openChannel(client, connection!, []);
    for (const type of ['a text', 'whole']) {
      const [error, value] = errorOrValue(await channel.request(type, {}, 100));
      replies.push(error ? { code: error.code } : value);
    }
  }
  void requestAll();
  await w.run(1000);
  expect(replies).toEqual([{ code: undefined }, 7]);
}

test(
  'versions one apart meet, with fields that one does not know; further apart is refused',
  versions,
);
test('a peer that takes no turns counts as down, and is up again when it wakes', frozenPeer);
test('an error that is malformed is an error, and the channel works on', malformedError);
