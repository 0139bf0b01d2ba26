/**
 * Forwards one attempt to its engine, and acts on the response by its class.
 */

import { AdapterRequest, EngineResponseHead } from '../../shared/platform-adapter/platform-adapter';
import { OperationError, errorOrValue } from '../../shared/errors/errors';
import { HttpConnection, RawHttpResponse, RawIncomingRequest } from '../../shared/ports/raw-http';
import { AdmittedRequest, markTimedOut, markUncertain, weightsByModel } from './admitted-request';
import { AttemptOutcome, AttemptTracker, EngineRejection } from './attempt-tracker';
import { EngineSelection } from './engine-chooser';
import { GatewayDependencies } from './gateway-dependencies';
import { classifyResponse } from './response-classification';
import { relayResponse } from './response-relay';
import { SilenceWatch } from './silence-watch';

/** One attempt that is to be sent. */
export interface ForwardedAttempt {
  call: RawIncomingRequest;
  admitted: AdmittedRequest;
  selection: EngineSelection;
  connection: HttpConnection;
  tracker: AttemptTracker;
  /** Whether another attempt may follow. */
  mayRetry: boolean;
}

/** Reads a response that nobody wants to its end, so that its connection can be used again. */
async function discardBody(response: RawHttpResponse): Promise<void> {
  for (;;) {
    const [error, chunk] = errorOrValue(await response.nextChunk());
    if (error || chunk === undefined) return;
  }
}

/** Forwards one attempt. */
class AttemptForwarding {
  constructor(
    private readonly gateway: GatewayDependencies,
    private readonly attempt: ForwardedAttempt,
  ) {}

  async run(): Promise<AttemptOutcome> {
    const { admitted, call, connection } = this.attempt;
    const remainingMs = admitted.deadlineAt - this.gateway.ports.clock.now();
    const request = this.engineRequest(remainingMs);
    admitted.inFlight.abandonAttempt = connection.close;
    const watch = this.watchSilence();
    const [error, response] = errorOrValue(
      await connection.request(request, remainingMs, watch?.signal ?? call.aborted),
    );
    const outcome = error ? this.failed(error) : await this.responded(response);
    watch?.stop();
    return outcome;
  }

  /** The attempt in the engines' wire format. */
  private engineRequest(remainingMs: number): AdapterRequest {
    const { admitted, call, selection } = this.attempt;
    const { method, target, headers } = call;
    return this.gateway.adapter.engines.attempt(
      { method, target, headers, body: admitted.body },
      {
        instance: selection.engine.id,
        deadlineMs: remainingMs,
        tenant: admitted.tenant?.name,
        salt: selection.salt,
        weights: selection.weights,
        urgency: selection.urgency,
        fetchFrom: selection.fetchFromAddress,
        storeAt: selection.storeAddress,
        lastEvent: admitted.lastEvent,
      },
    );
  }

  /** Watches the engine where the request may go elsewhere if it is lost. */
  private watchSilence(): SilenceWatch | undefined {
    const { admitted, call, mayRetry, selection } = this.attempt;
    if (!admitted.isIdempotent || !mayRetry) return undefined;
    return new SilenceWatch(this.gateway, call, admitted, selection.engine);
  }

  /** What became of an attempt without a response. */
  private failed(error: OperationError): AttemptOutcome {
    const { admitted, call } = this.attempt;
    if (call.aborted.aborted) return this.endWith('caller-gone');
    if (error.certainty === 'refused') return this.endWith('not-sent');
    return this.endWith(
      error.code === 'timeout' ? markTimedOut(admitted) : markUncertain(admitted),
    );
  }

  private async responded(response: RawHttpResponse): Promise<AttemptOutcome> {
    const { admitted, selection } = this.attempt;
    const { engine } = selection;
    this.gateway.connections.recordActivity(engine);
    const { status, headersByName } = response;
    const head = this.gateway.adapter.engines.head(status, headersByName);
    const classified = classifyResponse(head, status, admitted, engine.id);
    if (classified.kind === 'mismatched') return this.mismatched(response);
    this.recordHead(head);
    if (classified.kind === 'rejected') return this.rejected(response, classified.rejection);
    if (classified.kind === 'uncertain') return this.uncertain(response);
    if (classified.kind === 'server-error' && this.canRetry()) return this.retried(response);
    return this.endWith(await relayResponse(this.gateway, { ...this.attempt, response }));
  }

  private recordHead({ keepS, weights }: EngineResponseHead): void {
    const { admitted, selection, tracker } = this.attempt;
    this.gateway.connections.recordKeepAlive(selection.engine, keepS);
    tracker.recordWeights(weightsByModel(admitted, weights));
  }

  private mismatched(response: RawHttpResponse): AttemptOutcome {
    this.gateway.connections.quarantine(this.attempt.selection.engine);
    return this.uncertain(response);
  }

  private rejected(response: RawHttpResponse, rejection: EngineRejection): AttemptOutcome {
    void discardBody(response);
    this.attempt.tracker.recordRejection(rejection);
    return this.endWith('not-executed');
  }

  private uncertain(response: RawHttpResponse): AttemptOutcome {
    response.cancel();
    return this.endWith(markUncertain(this.attempt.admitted));
  }

  private canRetry(): boolean {
    const { admitted, mayRetry } = this.attempt;
    return admitted.isIdempotent && mayRetry && this.gateway.budget.hasBudget(admitted.pool);
  }

  private retried(response: RawHttpResponse): AttemptOutcome {
    void discardBody(response);
    return this.endWith(markUncertain(this.attempt.admitted));
  }

  private endWith(outcome: AttemptOutcome): AttemptOutcome {
    this.attempt.tracker.recordEnd(outcome);
    return outcome;
  }
}

/** Sends an attempt to its engine and passes the answer back; gives the attempt's outcome. */
export function forward(
  gateway: GatewayDependencies,
  attempt: ForwardedAttempt,
): Promise<AttemptOutcome> {
  return new AttemptForwarding(gateway, attempt).run();
}
