/**
 * Long asks between controllers, compressed.
 */
import { pack } from 'msgpackr';
import { decompress, deflate } from './compression';
import { PeerChannel } from './peer-channel';
import { dispatch, HandlerResult, messageHandler } from './message-handlers';
import { bodyField } from './body-fields';
import { errorOrValue, Result } from '../errors/errors';

/** An ask of more bytes than this is compressed. */
const PACKED_ABOVE = 4096;

/** An ask of another type whose body is compressed. */
export class CompressedRequest {
  @bodyField('string') type!: string;
  @bodyField('any') bytes!: Uint8Array;
}

/** Takes compressed asks, and hands them to the handlers of what they hold. */
export class CompressedRequestHandlers {
  constructor(private readonly edges: readonly object[]) {}

  /** Reads the body and has it handled as if it had come by itself. */
  @messageHandler('packed', CompressedRequest)
  async packed(m: CompressedRequest, from: PeerChannel): HandlerResult {
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
export function compressedBodyBytes(body: object): number {
  return packedBody(body)?.length ?? 0;
}

/** Asks with a compressed body where it is long; a peer of an earlier release is asked as before. */
export async function requestCompressed(
  exchange: PeerChannel,
  type: string,
  body: object,
  within: number,
): Promise<Result<unknown>> {
  const bytes = packedBody(body);
  if (!bytes) return exchange.request(type, body, within);
  const reply = await exchange.request('packed', { type, bytes }, within);
  const [fault] = errorOrValue(reply);
  return fault?.code === 'not-known' ? exchange.request(type, body, within) : reply;
}
