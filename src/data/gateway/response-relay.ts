/**
 * Relays an engine's response to the caller as it comes; of a stream that can be resumed elsewhere, whole events only.
 */

import {
  EventParser,
  RawHeaders,
  StreamEvent,
} from '../../shared/platform-adapter/platform-adapter';
import { errorOrValue } from '../../shared/errors/errors';
import { RawHttpResponse, RawIncomingRequest } from '../../shared/ports/raw-http';
import { AdmittedRequest, markTimedOut, markUncertain, weightsByModel } from './admitted-request';
import { AttemptOutcome, AttemptTracker } from './attempt-tracker';
import { EngineSelection } from './engine-chooser';
import { GatewayDependencies } from './gateway-dependencies';
import { isSuccess } from './response-classification';

/** A response that is to be relayed. */
export interface RelayedResponse {
  call: RawIncomingRequest;
  admitted: AdmittedRequest;
  selection: EngineSelection;
  tracker: AttemptTracker;
  response: RawHttpResponse;
}

function bytesOf({ bytes }: StreamEvent): Uint8Array {
  return bytes;
}

/** Headers without `Content-Length`: a stream that may be resumed elsewhere has no length. */
function withoutLength(headers: RawHeaders): RawHeaders {
  const kept: RawHeaders = [];
  for (let i = 0; i < headers.length; i += 2)
    if (headers[i].toLowerCase() !== 'content-length') kept.push(headers[i], headers[i + 1]);
  return kept;
}

/** Relays one response. */
class ResponseRelay {
  /** Cuts a stream that can be resumed into events. */
  private readonly parser: EventParser | undefined;
  private readonly headers: RawHeaders;
  private hasChunk = false;

  constructor(
    private readonly gateway: GatewayDependencies,
    private readonly relayed: RelayedResponse,
  ) {
    const { engines } = gateway.adapter;
    const { admitted, response } = relayed;
    const isResumable = admitted.route.resumable && isSuccess(response.status);
    this.parser = isResumable ? engines.events() : undefined;
    this.headers = engines.passBack(response.headers);
  }

  async run(): Promise<AttemptOutcome> {
    const { admitted, call, response } = this.relayed;
    for (;;) {
      const [error, chunk] = errorOrValue(await response.nextChunk());
      if (call.aborted.aborted) return this.cancel('caller-gone');
      if (error) return error.code === 'timeout' ? markTimedOut(admitted) : markUncertain(admitted);
      if (chunk === undefined) return this.complete();
      const outcome = await this.relayChunk(chunk);
      if (outcome) return outcome;
    }
  }

  /** Relays a chunk; gives an outcome where the response can't go on. */
  private async relayChunk(chunk: Uint8Array): Promise<AttemptOutcome | undefined> {
    const { admitted, call, selection, tracker } = this.relayed;
    this.gateway.connections.recordActivity(selection.engine);
    if (!this.hasChunk) tracker.recordFirstEvent();
    this.hasChunk = true;
    const bytes = this.parser ? this.newEvents(this.parser.take(chunk)) : chunk;
    if (bytes === undefined || this.isEventTooLong()) return this.cancel(markUncertain(admitted));
    if (bytes.length === 0) return undefined;
    this.writeHead();
    if (await call.write(bytes)) return undefined;
    return this.cancel('caller-gone');
  }

  /** Whether the event that is not complete yet is longer than the largest body. */
  private isEventTooLong(): boolean {
    return (this.parser?.rest() ?? 0) > this.gateway.settings.bodyMostBytes;
  }

  /** Ends the answer; a stream that ends within an event broke off. */
  private complete(): AttemptOutcome {
    const { admitted, call } = this.relayed;
    if (this.parser && this.parser.rest() > 0) return markUncertain(admitted);
    this.writeHead();
    call.end();
    return 'answered';
  }

  private cancel(outcome: AttemptOutcome): AttemptOutcome {
    this.relayed.response.cancel();
    return outcome;
  }

  /** The bytes of events; nothing where one came that was passed on already. */
  private newEvents(events: readonly StreamEvent[]): Uint8Array | undefined {
    const { admitted, tracker } = this.relayed;
    for (const { id, weights } of events) {
      const { lastEvent } = admitted;
      if (id !== undefined && lastEvent !== undefined && Number(id) <= Number(lastEvent))
        return undefined;
      admitted.lastEvent = id ?? lastEvent;
      if (weights !== undefined) tracker.recordWeights(weightsByModel(admitted, { '': weights }));
    }
    return events.length === 1 ? events[0].bytes : Buffer.concat(events.map(bytesOf));
  }

  /** Writes the head once, also where the answer is resumed. */
  private writeHead(): void {
    const { admitted, call, response } = this.relayed;
    if (admitted.inFlight.answerBegan) return;
    admitted.inFlight.answerBegan = true;
    const headers = admitted.route.resumable ? withoutLength(this.headers) : this.headers;
    call.writeHead(response.status, headers);
  }
}

/** Relays a response to its end, and gives the outcome of its attempt. */
export function relayResponse(
  gateway: GatewayDependencies,
  relayed: RelayedResponse,
): Promise<AttemptOutcome> {
  return new ResponseRelay(gateway, relayed).run();
}
