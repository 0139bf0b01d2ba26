/**
 * The background task that orders engines to load the named weights where engines are driven by our own interface: one
 * node for each engine, under the epoch of a singleton role of that engine as the fencing token.
 */

import { engineStatus, sendEngineOrder } from '../../shared/contracts/engine';
import { errorOrValue } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { Engine } from '../../shared/state/engines';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { NamedWeights } from '../../shared/state/weights';
import { Version } from '../../shared/state/versions';
import { Controller } from '../controller-interface';

/** A role that this node holds: its epoch, and since when, in ms of the clock. */
interface HeldRole {
  epoch: number;
  since: number;
}

/** Orders engines to load the named weights, until the controller stops. */
export function orderWeights(controller: Controller, ports: Ports): Promise<void> {
  return new WeightsOrders(controller, ports).run();
}

class WeightsOrders {
  private readonly heldRoles = new Map<string, HeldRole>();

  constructor(
    private readonly controller: Controller,
    private readonly ports: Ports,
  ) {}

  async run(): Promise<void> {
    const { controller, ports } = this;
    while (!controller.isStopped()) {
      await ports.clock.sleep(controller.timeLimits.platformPollMs);
      const engines = controller.committedValue<Engine[]>(CONTROL_KEYS.engines)?.value;
      for (const engine of engines ?? []) {
        const named = this.namedFor(engine);
        if (named) await this.orderIfLacking(engine, named);
      }
    }
  }

  /** The weights that this node is to bring an engine to; the role of another node's engine is forgotten. */
  private namedFor(engine: Engine): NamedWeights | undefined {
    const { controller } = this;
    if (!controller.isPreferredOwner(CONTROL_KEYS.duty + engine.id) || engine.leaving) {
      this.heldRoles.delete(engine.id);
      return undefined;
    }
    return controller.committedValue<NamedWeights>(CONTROL_KEYS.weights + engine.model)?.value;
  }

  private async orderIfLacking(engine: Engine, { weights }: NamedWeights): Promise<void> {
    const { network, logger } = this.ports;
    const { statusTimeoutMs } = this.controller.timeLimits;
    const [statusError, status] = errorOrValue(
      await engineStatus(network, engine.at, statusTimeoutMs),
    );
    if (statusError || status.weights === weights) return;
    const role = await this.confirmRole(engine);
    if (!role) return;
    const order = { epoch: role.epoch, by: role.by, weights };
    const [error] = errorOrValue(await sendEngineOrder(network, engine.at, order, statusTimeoutMs));
    if (error)
      logger.warn(
        { event: 'weights.order-failed', step: error.step, peer: error.peer },
        error.reason,
      );
  }

  /**
   * Confirms this node's role for an engine. Gives its version once the role is held for a whole lease, so that no
   * earlier holder gives orders any more, and where the confirmation is fresh.
   */
  private async confirmRole(engine: Engine): Promise<Version | undefined> {
    const { controller } = this;
    const { clock } = this.ports;
    const askedAt = clock.now();
    const [error, result] = errorOrValue(
      await controller.change({ kind: 'duty', duty: engine.id, holder: controller.name }),
    );
    if (error || result.place.by !== controller.ownerId) return undefined;
    const now = clock.now();
    const held = this.heldRoles.get(engine.id);
    if (held?.epoch !== result.place.epoch) {
      this.heldRoles.set(engine.id, { epoch: result.place.epoch, since: now });
      return undefined;
    }
    const { leaseExpiryMs, orderFreshnessMs } = controller.timeLimits;
    const isSafe = now - held.since >= leaseExpiryMs && now - askedAt <= orderFreshnessMs;
    return isSafe ? result.place : undefined;
  }
}
