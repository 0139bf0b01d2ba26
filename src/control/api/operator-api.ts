/**
 * The operators' HTTP interface of a controller.
 */

import { Result } from '../../shared/errors/errors';
import { IncomingRequest, Listener } from '../../shared/ports/network';
import { Ports } from '../../shared/ports/ports';
import { makeRequestListener } from '../../shared/transport/http-handlers';
import { Controller } from '../controller-interface';
import { ClusterApi } from './cluster-api';
import { ConfigurationApi } from './configuration-api';
import { EvacuationChanges } from './evacuation-changes';
import { EvacuationApi } from './evacuation-api';

/** Makes the function that handles the calls of the operators' HTTP interface. */
export function makeOperatorListener(
  controller: Controller,
  ports: Ports,
  evacuations: EvacuationChanges,
): (call: IncomingRequest) => Promise<void> {
  const handlers = [
    new ConfigurationApi(controller, ports),
    new ClusterApi(controller, ports),
    new EvacuationApi(controller, evacuations),
  ];
  return makeRequestListener(handlers, ports.logger);
}

/** Serves the operators' HTTP interface; the error is that of an address that can't be listened on. */
export function serveOperators(controller: Controller, ports: Ports): Promise<Result<Listener>> {
  const evacuations = new EvacuationChanges(controller, ports);
  const handle = makeOperatorListener(controller, ports, evacuations);
  return ports.network.serveHttp(controller.settings.http, handle);
}
