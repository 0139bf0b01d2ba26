/**
 * Has one engine load weights: orders it under the fencing token of the rollout's singleton role, and asks for reports
 * until the engine has them or is given up for now.
 */

import {
  EngineReport,
  OrderReply,
  PlatformAdapter,
} from '../../shared/platform-adapter/platform-adapter';
import { sendAdapterRequest } from '../../shared/platform-adapter/adapter-request';
import { errorOrValue } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import { EngineUpdate, judgeReport, PendingOrder, reportDelayMs } from './rollout-decisions';
import { SingletonLease } from './singleton-lease';

/** What the platform's adapter knows of orders to engines. */
export type EngineOrderAdapter = Pick<PlatformAdapter['engines'], 'order' | 'report'>;

/** What loading weights on engines needs. */
export interface EngineWeightsLoaderDependencies {
  ports: Ports;
  timeLimits: TimeLimits;
  adapter: EngineOrderAdapter;
  lease: SingletonLease;
  /** The id that orders name as the holder of the role. */
  holderId: string;
  /** What a load took lately, in ms. */
  usualLoadMs: () => number;
  /** Whether the platform's list still shows an engine as serving the model of its update. */
  isListed: (update: EngineUpdate) => boolean;
}

/** What became of an order: pending, not needed, or not given. */
type OrderOutcome = PendingOrder | 'loaded' | 'not-taken';

/** Orders engines to load weights. */
export class EngineWeightsLoader {
  constructor(private readonly dependencies: EngineWeightsLoaderDependencies) {}

  /** Orders an engine to load the weights of an update; true once it has them, false where it is to be tried again. */
  async load(update: EngineUpdate): Promise<boolean> {
    const { ports, timeLimits, isListed } = this.dependencies;
    let order = await this.order(update, undefined);
    let unansweredReports = 0;
    while (order !== 'loaded' && order !== 'not-taken') {
      await ports.clock.sleep(this.reportDelayMs(order));
      const report = await this.report(update);
      unansweredReports = report === undefined ? unansweredReports + 1 : 0;
      const now = ports.clock.now();
      const observation = { order, now, report, unansweredReports, isListed: isListed(update) };
      const verdict = judgeReport(update, observation, timeLimits);
      if (verdict === 'loaded' || verdict === 'failed') return verdict === 'loaded';
      if (verdict === 'order-again') order = await this.order(update, report?.orders);
    }
    return order === 'loaded';
  }

  private reportDelayMs(order: PendingOrder): number {
    const { ports, timeLimits, usualLoadMs } = this.dependencies;
    const sinceOrderMs = ports.clock.now() - order.sentAt;
    return reportDelayMs(sinceOrderMs, usualLoadMs(), timeLimits.singletonFreshMs);
  }

  /**
   * Gives the order, under a fencing token that a majority confirmed just now. `expectedOrders` has the engine refuse it
   * where it has taken another number of orders. What got no clear answer may have been taken.
   */
  private async order(
    update: EngineUpdate,
    expectedOrders: number | undefined,
  ): Promise<OrderOutcome> {
    const { ports, timeLimits, adapter, lease, holderId } = this.dependencies;
    const fence = await lease.acquireFencingToken(0);
    if (fence === undefined || !lease.isFresh()) return 'not-taken';
    const { engine, model, named } = update;
    const request = adapter.order.ask({
      instance: engine.id,
      model,
      weights: named.weights,
      method: 'queue',
      holder: holderId,
      fence,
      expected: expectedOrders,
    });
    const sentAt = ports.clock.now();
    const [error, response] = errorOrValue(
      await sendAdapterRequest(ports.network, engine.at, request, timeLimits.engineOrderTimeoutMs),
    );
    const reply = error ? 'unknown' : adapter.order.read(response.status, response.body);
    this.logOrder(update, error ? error.reason : reply);
    return error?.certainty === 'refused' ? 'not-taken' : outcomeOf(reply, sentAt);
  }

  private logOrder({ engine, model, named }: EngineUpdate, answer: string): void {
    this.dependencies.ports.logger.info(
      { event: 'rollout.weights-ordered', peer: engine.at },
      `${engine.id} ${model} ${named.weights}: ${answer}`,
    );
  }

  /** Asks an engine how it is; nothing where it gives no answer that can be read. */
  private async report({ engine }: EngineUpdate): Promise<EngineReport | undefined> {
    const { ports, timeLimits, adapter } = this.dependencies;
    const request = adapter.report.ask();
    const [error, response] = errorOrValue(
      await sendAdapterRequest(ports.network, engine.at, request, timeLimits.engineOrderTimeoutMs),
    );
    if (error) return undefined;
    const read = adapter.report.read(response.status, response.body);
    return read.isRight() ? read.extract() : undefined;
  }
}

function outcomeOf(reply: OrderReply, sentAt: number): OrderOutcome {
  if (reply === 'holds') return 'loaded';
  if (reply === 'taken' || reply === 'busy') return { sentAt, isCertain: true };
  return reply === 'unknown' ? { sentAt, isCertain: false } : 'not-taken';
}
