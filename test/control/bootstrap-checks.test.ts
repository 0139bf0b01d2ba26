import {
  checkDiskIntact,
  checkFounderQuorum,
  checkKnownVoters,
  FounderReply,
  voterOfFounder,
} from '../../src/control/membership/bootstrap-checks';
import { IdentifyReply } from '../../src/control/membership/identify-reply';
import { makeError, Result } from '../../src/shared/errors/errors';

const ADDRESS = '10.0.0.2:7000';

function outcomeOf(result: Result<unknown>): unknown {
  return result.isLeft() ? result.extract().code : result.extract();
}

function reply(fields: Partial<IdentifyReply>): FounderReply {
  const value: IdentifyReply = { disk: 'd2', blank: true, mayFound: true, core: [], ...fields };
  return [undefined, value];
}

function checksReplies(): void {
  const silent: FounderReply = [makeError('who', ADDRESS, 'gone', 'unknown', 'timeout'), undefined];
  const started = reply({ mayFound: false });
  expect({
    present: outcomeOf(voterOfFounder(ADDRESS, false, reply({}))),
    presentWithoutLeave: outcomeOf(voterOfFounder(ADDRESS, false, started)),
    presentOfCluster: outcomeOf(voterOfFounder(ADDRESS, false, reply({ blank: false }))),
    presentSilent: outcomeOf(voterOfFounder(ADDRESS, false, silent)),
    absentSilent: outcomeOf(voterOfFounder(ADDRESS, true, silent)),
    absentThatMayBootstrap: outcomeOf(voterOfFounder(ADDRESS, true, reply({}))),
    absentWithoutLeave: outcomeOf(voterOfFounder(ADDRESS, true, started)),
    absentOfCluster: outcomeOf(voterOfFounder(ADDRESS, true, reply({ blank: false }))),
  }).toEqual({
    present: { disk: 'd2', at: ADDRESS },
    presentWithoutLeave: { disk: 'd2', at: ADDRESS },
    presentOfCluster: 'not-blank',
    presentSilent: 'timeout',
    absentSilent: { disk: `absent ${ADDRESS}`, at: ADDRESS },
    absentThatMayBootstrap: 'conflict',
    absentWithoutLeave: { disk: `absent ${ADDRESS}`, at: ADDRESS },
    absentOfCluster: 'conflict',
  });
}

function refusesSilentFounderForCertain(): void {
  const silent: FounderReply = [makeError('who', ADDRESS, 'gone', 'unknown', 'timeout'), undefined];
  expect(voterOfFounder(ADDRESS, false, silent).extract()).toMatchObject({ certainty: 'refused' });
}

function checksQuorum(): void {
  const founders = ['a', 'b', 'c'];
  function check(...absent: string[]): unknown {
    return outcomeOf(checkFounderQuorum('node', { ownAddress: 'a', founders, absent }));
  }
  expect([check(), check('b'), check('a'), check('b', 'c')]).toEqual([
    undefined,
    undefined,
    'no-quorum',
    'no-quorum',
  ]);
}

function checksOwnDisk(): void {
  const voters = { now: [{ disk: 'd1', at: 'a' }] };
  expect([
    outcomeOf(checkKnownVoters(voters, 'd1')),
    outcomeOf(checkKnownVoters(voters, 'd9')),
    outcomeOf(checkDiskIntact('d1', false)),
    outcomeOf(checkDiskIntact('d1', true)),
  ]).toEqual([voters, 'not-blank', undefined, 'not-blank']);
}

test(
  'a founder counts by its reply, and an absent one must not be able to bootstrap',
  checksReplies,
);
test(
  'a bootstrap without the reply of a present founder is certainly refused',
  refusesSilentFounderForCertain,
);
test('a bootstrap needs this node and a majority of the founders', checksQuorum);
test('a bootstrap needs an intact disk, and is repeated only by a voter', checksOwnDisk);
