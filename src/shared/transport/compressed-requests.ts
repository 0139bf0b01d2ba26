/**
 * Long asks between controllers, compressed.
 */
import { pack } from 'msgpackr';
import { decompress, deflate } from './compression';
import { Exchange } from './connections';
import { dispatch, field, Handled, message } from './handlers';
import { open, Outcome } from '../errors/errors';

/** An ask of more bytes than this is compressed. */
const PACKED_ABOVE = 4096;

/** An ask of another type whose body is compressed. */
export class PackedAsk {
  @field('string') type!: string;
  @field('any') bytes!: Uint8Array;
}

/** Takes compressed asks, and hands them to the handlers of what they hold. */
export class PackedEdge {
  constructor(private readonly edges: readonly object[]) {}

  /** Reads the body and has it handled as if it had come by itself. */
  @message('packed', PackedAsk)
  async packed(m: PackedAsk, from: Exchange): Handled {
    const read = decompress('read packed', from.peer, m.bytes);
    if (read.isLeft()) return read;
    return dispatch(this.edges, m.type, read.extract(), from, from.peer);
  }
}

/** The compressed bodies of asks that go to several peers; nothing for one that is short. */
const packedBodies = new WeakMap<object, Uint8Array | undefined>();

function packedBody(body: object): Uint8Array | undefined {
  if (packedBodies.has(body)) return packedBodies.get(body);
  const bytes = pack(body);
  const packed = bytes.length > PACKED_ABOVE ? deflate(bytes) : undefined;
  packedBodies.set(body, packed);
  return packed;
}

/** Bytes of an ask's body where they are compressed, 0 where it is short. */
export function packedBytes(body: object): number {
  return packedBody(body)?.length ?? 0;
}

/** Asks with a compressed body where it is long; a peer of an earlier release is asked as before. */
export async function askPacked(
  exchange: Exchange,
  type: string,
  body: object,
  within: number,
): Promise<Outcome<unknown>> {
  const bytes = packedBody(body);
  if (!bytes) return exchange.ask(type, body, within);
  const reply = await exchange.ask('packed', { type, bytes }, within);
  const [fault] = open(reply);
  return fault?.code === 'not-known' ? exchange.ask(type, body, within) : reply;
}
