/**
 * The attempts of a request: engine after engine until one has answered, or no further attempt may be made.
 */

import { Either, Right } from 'purify-ts';
import { errorOrValue } from '../../shared/errors/errors';
import { HttpRoute } from '../../shared/state/deployment';
import { HttpConnection, RawIncomingRequest } from '../../shared/ports/raw-http';
import {
  AdmittedRequest,
  canResume,
  PreparedAttempt,
  selectionRequestOf,
} from './admitted-request';
import { AttemptOutcome, AttemptTracker } from './attempt-tracker';
import { EngineSelection } from './engine-chooser';
import { Rejection } from './error-responses';
import { forward } from './forwarding';
import { GatewayDependencies } from './gateway-dependencies';
import { CutOffCause } from './in-flight-requests';

/** Engines that may be tried without reaching them before a request is given up, as a multiple of its attempts. */
const MAX_TRIES_RATIO = 3;
/** When a request may come again that could not be sent, as a share of its route's latency target. */
const RETRY_AFTER_RATIO = 0.25;
/** The least time that is worth another attempt, as a share of `transitMs`. */
const MIN_ATTEMPT_RATIO = 0.1;

/** How the attempts of a request came to their end. */
export interface AttemptsEnd {
  /** The outcome of the last attempt; none where none was sent. */
  outcome?: AttemptOutcome;
  /** Why an answer that has begun is cut off. */
  cause: CutOffCause;
  /** The rejection of what no engine has run. */
  rejection: Rejection;
}

/** The rejection where no engine could be connected to. */
function unreachable({ aimMs }: HttpRoute): Rejection {
  return {
    status: 503,
    reason: 'no engine can be reached',
    retryAfterMs: aimMs * RETRY_AFTER_RATIO,
  };
}

/** Makes the attempts of one request. */
class RequestAttempts {
  private end: AttemptsEnd;

  constructor(
    private readonly gateway: GatewayDependencies,
    private readonly call: RawIncomingRequest,
    private readonly admitted: AdmittedRequest,
  ) {
    this.end = { cause: 'attempts-used-up', rejection: unreachable(admitted.route) };
  }

  async run(): Promise<AttemptsEnd> {
    const { maxAttempts } = this.admitted.route;
    for (let tries = 0; this.admitted.sentAttempts < maxAttempts; tries++) {
      if (tries >= maxAttempts * MAX_TRIES_RATIO) break;
      if (await this.tryNextEngine()) break;
    }
    this.takeFailover()?.tracker.recordEnd('caller-gone');
    return this.end;
  }

  /** Chooses an engine and sends the request there; `true` where no further attempt is made. */
  private async tryNextEngine(): Promise<boolean> {
    const { admitted, gateway } = this;
    if (this.isTimeShort()) return this.endWith('time-up');
    if (gateway.drain.isOver()) return true;
    const [rejection, prepared] = errorOrValue(await this.prepareAttempt());
    if (rejection) {
      this.end = { ...this.end, rejection };
      return this.endWith('no-engine');
    }
    const { selection, tracker } = prepared;
    admitted.excluded.add(selection.engine.id);
    const connection = await this.connect(selection, tracker);
    if (!connection) return false;
    if (!gateway.warmUpLimit.trySend(selection.engine)) {
      tracker.recordEnd('caller-gone');
      gateway.connections.release(selection.engine, connection);
      return false;
    }
    const cause = this.causeNotToSend();
    if (cause) {
      tracker.recordEnd('caller-gone');
      gateway.connections.release(selection.engine, connection);
      return this.endWith(cause);
    }
    await this.send(selection, connection, tracker);
    return this.isLast();
  }

  /** The attempt that was prepared while the one before was under way, or one with an engine that is chosen now. */
  private async prepareAttempt(): Promise<Either<Rejection, PreparedAttempt>> {
    const { admitted, gateway } = this;
    const failover = this.takeFailover();
    if (failover) return Right(failover);
    const choice = await gateway.chooser.choose(selectionRequestOf(admitted));
    function start(selection: EngineSelection): PreparedAttempt {
      return { selection, tracker: gateway.chooser.startAttempt(selection, admitted.request) };
    }
    return choice.map(start);
  }

  private takeFailover(): PreparedAttempt | undefined {
    const { failover } = this.admitted;
    this.admitted.failover = undefined;
    return failover;
  }

  private isTimeShort(): boolean {
    const { clock } = this.gateway.ports;
    const minMs = this.gateway.settings.transitMs * MIN_ATTEMPT_RATIO;
    return this.call.aborted.aborted || this.admitted.deadlineAt - clock.now() < minMs;
  }

  /** Takes a connection to the engine that was chosen; nothing where there is none, or the engine has gone meanwhile. */
  private async connect(
    { engine }: EngineSelection,
    tracker: AttemptTracker,
  ): Promise<HttpConnection | undefined> {
    const { coldEngines, connections, isEngineActive } = this.gateway;
    const [error, connection] = errorOrValue(
      await connections.acquire(engine, this.admitted.maxConnections),
    );
    if (error) {
      if (error.code === 'no-connection') tracker.recordRejection('not-run');
      else coldEngines.recordUnreachable(engine);
      tracker.recordEnd('not-sent');
      return undefined;
    }
    if (isEngineActive(engine)) return connection;
    tracker.recordEnd('not-sent');
    connections.release(engine, connection);
    return undefined;
  }

  /** Why an attempt is not sent although it has a connection; a retry is paid for here. */
  private causeNotToSend(): CutOffCause | undefined {
    const { admitted, gateway } = this;
    const isTimeUp = gateway.ports.clock.now() >= admitted.deadlineAt;
    if (isTimeUp || this.call.aborted.aborted) return 'time-up';
    const isRetry = admitted.sentAttempts > 0 && !admitted.hasPaidRetry;
    return isRetry && !gateway.budget.trySpend(admitted.pool) ? 'retry-budget' : undefined;
  }

  private async send(
    selection: EngineSelection,
    connection: HttpConnection,
    tracker: AttemptTracker,
  ): Promise<void> {
    const { admitted, call, gateway } = this;
    this.countAttempt(selection);
    admitted.hasPaidRetry = false;
    const mayRetry = admitted.sentAttempts + 1 < admitted.route.maxAttempts;
    const attempt = { call, admitted, selection, connection, tracker, mayRetry };
    const outcome = await forward(gateway, attempt);
    admitted.inFlight.abandonAttempt = undefined;
    if (outcome !== 'not-sent') admitted.sentAttempts++;
    this.end.outcome = outcome;
  }

  private countAttempt({ engine }: EngineSelection): void {
    const { counts } = this.gateway;
    const { inFlight, sentAttempts } = this.admitted;
    counts.attempts++;
    if (sentAttempts > 0) counts.retries++;
    if (inFlight.answerBegan) counts.resumed++;
    inFlight.engine = engine.id;
    inFlight.attempts++;
  }

  /** Whether no attempt may follow the one that has just ended. */
  private isLast(): boolean {
    const { outcome } = this.end;
    if (this.gateway.drain.isOver()) return true;
    if (outcome === 'timed-out') return this.endWith('time-up');
    if (outcome === 'broken-off' && !canResume(this.admitted))
      return this.endWith('engine-broke-off');
    if (outcome === 'answered' || outcome === 'caller-gone') return true;
    return outcome === 'uncertain' && !this.admitted.isIdempotent;
  }

  private endWith(cause: CutOffCause): true {
    this.end = { ...this.end, cause };
    return true;
  }
}

/** Sends a request to engines in turn until one has answered, or none may be tried any more. */
export function runAttempts(
  gateway: GatewayDependencies,
  call: RawIncomingRequest,
  admitted: AdmittedRequest,
): Promise<AttemptsEnd> {
  return new RequestAttempts(gateway, call, admitted).run();
}
