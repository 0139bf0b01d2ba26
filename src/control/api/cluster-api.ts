/**
 * The operators' HTTP interface to the cluster: its voter set and bootstrap, its status, health and metrics.
 */

import { memoryRows } from '../../shared/limits/pressure-log';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { IncomingRequest } from '../../shared/ports/network';
import { Ports } from '../../shared/ports/ports';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VoterSet } from '../../shared/state/voter-set';
import { httpHandler, readBodyAs, sendJson } from '../../shared/transport/http-handlers';
import { Controller } from '../controller-interface';
import { replaceVoter } from '../membership/reconfiguration';
import { readVoterStatus, voterMetricRows } from '../membership/voter-status';
import { evacuatedZones } from './evacuation-plan';
import { tallyMetricRows } from '../tallies/tally-status';
import { currentRevision, sendOperationError } from './operator-replies';
import { BootstrapRequest, ReplaceVoterRequest } from './operator-requests';
import { METRICS_CONTENT_TYPE } from '../../shared/observability/metrics';

/** Handles the operators' requests about the cluster. */
export class ClusterApi {
  constructor(
    private readonly controller: Controller,
    private readonly ports: Ports,
  ) {}

  /** Replaces a lost voter by a blank controller. */
  @httpHandler('POST', '/v1/voters')
  async postVoters(call: IncomingRequest): Promise<void> {
    const { bodyMostBytes } = this.controller.settings;
    const request = await readBodyAs(call, ReplaceVoterRequest, bodyMostBytes, 'replace voter');
    if (!request) return;
    const { out, into } = request;
    this.replyVoterSet(call, await replaceVoter(this.controller, this.ports, out, into));
  }

  /** Bootstraps a blank cluster without founders that are absent. */
  @httpHandler('POST', '/v1/found')
  async postFound(call: IncomingRequest): Promise<void> {
    const { bodyMostBytes } = this.controller.settings;
    const request = await readBodyAs(call, BootstrapRequest, bodyMostBytes, 'found');
    if (!request) return;
    this.replyVoterSet(call, await this.controller.bootstrap(request.without));
  }

  /** Gives the cluster as this controller sees it. */
  @httpHandler('GET', '/v1/fleet')
  async getFleet(call: IncomingRequest): Promise<void> {
    const { controller } = this;
    const { name, store, leases } = controller;
    sendJson(call, 200, {
      controller: name,
      disk: store.diskId,
      diskFit: store.isWritable(),
      diskSpoilt: store.isCorrupt,
      voters: controller.voters(),
      standing: await readVoterStatus(controller),
      live: controller.liveAddresses(),
      majority: controller.hasQuorum(),
      members: leases.members(),
      engines: controller.committedValue(CONTROL_KEYS.engines)?.value ?? [],
      evacuated: evacuatedZones(controller),
      revision: currentRevision(controller),
      routers: leases.appliedVersions(CONTROL_KEYS.intents),
      tallies: controller.tallies?.status(),
    });
  }

  /** Tells whether this controller sees a quorum and its disk takes writes: 200, or else 503. */
  @httpHandler('GET', '/healthz')
  health(call: IncomingRequest): Promise<void> {
    const majority = this.controller.hasQuorum();
    const diskFit = this.controller.store.isWritable();
    const ok = majority && diskFit;
    sendJson(call, ok ? 200 : 503, { ok, majority, diskFit });
    return Promise.resolve();
  }

  /** Gives the metrics in the Prometheus text format. */
  @httpHandler('GET', '/metrics')
  async metrics(call: IncomingRequest): Promise<void> {
    const { controller } = this;
    const { leases, store, tallies } = controller;
    const rows = [
      `plumhollow_controller_members ${leases.members().length}`,
      `plumhollow_controller_live_voters ${controller.liveAddresses().length}`,
      `plumhollow_controller_disk_fit ${store.isWritable() ? 1 : 0}`,
      `plumhollow_controller_intents_revision ${currentRevision(controller)}`,
      `plumhollow_controller_evacuated_zones ${evacuatedZones(controller).length}`,
      `plumhollow_controller_cut_off_zones ${controller.cutOffZones().length}`,
      ...leases.lagRows(),
      ...controller.permits.metricRows(),
      ...voterMetricRows(await readVoterStatus(controller)),
      ...memoryRows(this.ports.memoryFigures?.()),
      ...(tallies ? [...tallyMetricRows(tallies.status()), ...tallies.copyRows()] : []),
    ];
    call.writeHead(200, { 'content-type': METRICS_CONTENT_TYPE });
    call.end(await controller.metrics.text(rows));
  }

  private replyVoterSet(call: IncomingRequest, result: Result<VoterSet>): void {
    const [error, voters] = errorOrValue(result);
    if (error) return sendOperationError(this.controller, call, error);
    sendJson(call, 200, { voters, done: true });
  }
}
