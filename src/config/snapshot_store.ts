import {randomUUID} from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {describeError, Logger, Millis} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {ConfigState} from './config_state.js';
import {RecordSigner, supportedFormat} from './record.js';
import {decodeState, encodeState} from './state_codec.js';

// Base64 digits in one record, a size that log services commonly take.
const partLength = 512 * 1024;
const pageSize = 256;
const maxParts = 256;

const manifestCodec = t.type({
  kind: t.literal('snapshot'),
  snapshot: t.string,
  next: t.Int,
  version: t.Int,
  proof: t.string,
  /** Offsets of the parts in their stream. */
  parts: t.array(t.Int),
});

/** Says that a snapshot is complete, and where its parts are. */
export interface SnapshotManifest extends t.TypeOf<typeof manifestCodec> {
  readonly offset: number;
  readonly atMs: Millis;
}

const partCodec = t.type({
  kind: t.literal('part'),
  snapshot: t.string,
  part: t.Int,
  data: t.string,
});

/**
 * Snapshots of the fold in the log. A writer appends the parts first and the manifest last, so a writer that stops
 * half-way leaves nothing that a reader takes. Readers take the highest version, whoever wrote it and whenever.
 */
export class SnapshotStore {
  private readonly manifestSigner: RecordSigner;
  private readonly partSigner: RecordSigner;
  /** Small records, one for each complete snapshot. */
  private readonly manifestStream: string;
  /** The data of snapshots, in parts. */
  private readonly partStream: string;
  private manifests: readonly SnapshotManifest[] = [];
  private nextManifestOffset = 0;

  constructor(
    private readonly log: LogClient,
    private readonly clusterKey: string,
    private readonly logger: Logger,
    stream = 'config',
  ) {
    this.manifestStream = `${stream}-snapshots`;
    this.partStream = `${stream}-snapshot-parts`;
    this.manifestSigner = new RecordSigner(clusterKey, this.manifestStream);
    this.partSigner = new RecordSigner(clusterKey, this.partStream);
  }

  /** Writes a snapshot and gives its size in bytes; throws LogUnavailableError. */
  async write(state: ConfigState): Promise<number> {
    const encoded = await encodeState(this.clusterKey, state);
    const snapshot = randomUUID();
    const text = encoded.bytes.toString('base64');
    const parts: number[] = [];
    for (let at = 0; at < text.length; at += partLength) {
      const record = this.partSigner.encode({
        kind: 'part',
        snapshot,
        part: parts.length,
        data: text.slice(at, at + partLength),
      });
      parts.push(await this.log.append(this.partStream, [record]));
    }
    const {next, version, proof} = encoded;
    await this.log.append(this.manifestStream, [
      this.manifestSigner.encode({
        kind: 'snapshot',
        snapshot,
        next,
        version,
        proof,
        parts,
      }),
    ]);
    return encoded.bytes.length;
  }

  /** The manifest of the highest version; reads only what is new since the last call. Throws LogUnavailableError. */
  async findNewestManifest(): Promise<SnapshotManifest | undefined> {
    for (;;) {
      const page = await this.log.read(
        this.manifestStream,
        this.nextManifestOffset,
        pageSize,
      );
      // A stream that is shorter than before was reset; what was read of it no longer exists.
      if (page.nextOffset < this.nextManifestOffset) {
        this.manifests = [];
        this.nextManifestOffset = 0;
        continue;
      }
      const retained = this.manifests.filter(
        manifest => manifest.offset >= page.firstOffset,
      );
      const added = page.records.flatMap(record => {
        const opened = this.manifestSigner.decode(manifestCodec, record.value);
        return opened.kind === 'good'
          ? [{...opened.record, offset: record.offset, atMs: record.atMs}]
          : [];
      });
      this.manifests = [...retained, ...added].sort(
        (a, b) => b.next - a.next || b.offset - a.offset,
      );
      const last = page.records[page.records.length - 1];
      this.nextManifestOffset = last ? last.offset + 1 : page.nextOffset;
      if (this.nextManifestOffset >= page.nextOffset) return this.manifests[0];
    }
  }

  /**
   * The whole snapshot that goes furthest, if it has records from offset `known` on; throws LogUnavailableError.
   */
  async readNewest(known = 0): Promise<ConfigState | undefined> {
    await this.findNewestManifest();
    for (const manifest of this.manifests) {
      if (manifest.next <= known) return undefined;
      const state = await this.readSnapshot(manifest);
      if (E.isRight(state)) return state.right;
      this.logger.warn(
        {snapshot: manifest.snapshot, error: describeError(state.left)},
        'snapshot refused',
      );
    }
    return undefined;
  }

  private async readSnapshot(
    manifest: SnapshotManifest,
  ): Promise<E.Either<Error, ConfigState>> {
    const texts: string[] = [];
    for (const [index, offset] of manifest.parts.slice(0, maxParts).entries()) {
      const page = await this.log.read(this.partStream, offset, 1);
      const record = page.records.find(item => item.offset === offset);
      const opened = this.partSigner.decode(partCodec, record?.value);
      if (
        opened.kind !== 'good' ||
        opened.record.snapshot !== manifest.snapshot ||
        opened.record.part !== index
      ) {
        return E.left(new Error(`part ${index} is missing or damaged`));
      }
      texts.push(opened.record.data);
    }
    return decodeState(this.clusterKey, {
      format: supportedFormat,
      next: manifest.next,
      version: manifest.version,
      bytes: Buffer.from(texts.join(''), 'base64'),
      proof: manifest.proof,
    });
  }
}
