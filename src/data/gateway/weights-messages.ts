/**
 * The messages by which the core tells routers of engines that take up weights, ahead of the list of engines.
 */

import { Right } from 'purify-ts';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { WeightsTracker } from './weights-tracker';

/** Message 'loading': engines by id that are about to take up weights. */
class LoadingNotice {
  @bodyField('list') engines!: string[];
  /** Ms after which they are taken to have ended; 0 where they no longer take weights up. */
  @bodyField('number') within!: number;
}

/** Message 'loaded': an engine's id, and the weights that it runs with, by model. */
class LoadedNotice {
  @bodyField('string') engine!: string;
  @bodyField('object') weights!: Record<string, string>;
}

/** Passes the core's messages on to the tracker. */
export class WeightsMessages {
  constructor(private readonly tracker: WeightsTracker) {}

  /** Engines are about to take up weights. */
  @messageHandler('loading', LoadingNotice)
  loading(notice: LoadingNotice): HandlerResult {
    this.tracker.recordLoading(notice.engines, notice.within);
    return Promise.resolve(Right(true));
  }

  /** An engine has them. */
  @messageHandler('loaded', LoadedNotice)
  loaded(notice: LoadedNotice): HandlerResult {
    this.tracker.recordReported(notice.engine, notice.weights);
    return Promise.resolve(Right(true));
  }
}
