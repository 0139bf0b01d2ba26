/**
 * Records examples of every message between our processes into a folder:
 * `node dist/tools/compatibility/record-wire.js test/fixtures/wire-COMMIT`, then `npm run format`. The files are kept as
 * they were recorded; a new folder is begun where messages are changed on purpose.
 */

import { recordAll, SCENARIOS } from './scenarios';
import { writeRecording } from './stored-recording';

async function recordInto(folder: string): Promise<void> {
  const descriptions: Record<string, string> = {};
  for (const { name, description } of SCENARIOS) descriptions[name] = description;
  const types = await recordAll();
  writeRecording(folder, types, descriptions);
  console.log(`${types.length} types of messages`);
}

const [, , folder] = process.argv;
if (folder === undefined) throw new Error('the folder to write into is wanted');
void recordInto(folder);
