import {randomUUID} from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import {describeError, Logger, Millis} from '../base/index.js';
import {LogClient} from '../logservice/index.js';
import {ConfigState} from './config_state.js';
import {RecordSigner, supportedFormat} from './record.js';
import {decodeState, encodeState} from './state_codec.js';

// Base64 characters per record; log services commonly accept records of this size.
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

/** Record of a completely written snapshot, with the offsets of its parts. */
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
 * Stores snapshots of the configuration state in the log. A writer appends the parts first and the manifest last, so
 * readers ignore the parts of a writer that stopped half-way. Readers take the snapshot that covers the most records of
 * the stream (the highest `next`), regardless of who wrote it and when.
 */
export class SnapshotStore {
  private readonly manifestSigner: RecordSigner;
  private readonly partSigner: RecordSigner;
  /** Holds one small record for each complete snapshot. */
  private readonly manifestStream: string;
  /** Holds the data of the snapshots, in parts. */
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

  /** Writes a snapshot and returns its size in bytes; throws LogUnavailableError. */
  async write(state: ConfigState): Promise<number> {
    const encoded = await encodeState(this.clusterKey, state);
    const snapshot = randomUUID();
    const text = encoded.bytes.toString('base64');
    const parts: number[] = [];
    for (let start = 0; start < text.length; start += partLength) {
      const record = this.partSigner.encode({
        kind: 'part',
        snapshot,
        part: parts.length,
        data: text.slice(start, start + partLength),
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

  /**
   * Returns the manifest of the snapshot with the highest `next`; reads only the manifests added since the last call.
   * Throws LogUnavailableError.
   */
  async findNewestManifest(): Promise<SnapshotManifest | undefined> {
    for (;;) {
      const page = await this.log.read(
        this.manifestStream,
        this.nextManifestOffset,
        pageSize,
      );
      // A stream that is shorter than before was reset, so its records read so far no longer exist.
      if (page.nextOffset < this.nextManifestOffset) {
        this.manifests = [];
        this.nextManifestOffset = 0;
        continue;
      }
      const retained = this.manifests.filter(
        manifest => manifest.offset >= page.firstOffset,
      );
      const added = page.records.flatMap(record => {
        const decoded = this.manifestSigner.decode(manifestCodec, record.value);
        return decoded.kind === 'good'
          ? [{...decoded.record, offset: record.offset, atMs: record.atMs}]
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
   * Returns the complete snapshot with the highest `next` if that is above `known`; throws LogUnavailableError.
   */
  async readNewest(known = 0): Promise<ConfigState | undefined> {
    await this.findNewestManifest();
    for (const manifest of this.manifests) {
      if (manifest.next <= known) return undefined;
      const state = await this.readSnapshot(manifest);
      if (E.isRight(state)) return state.right;
      this.logger.warn(
        {snapshot: manifest.snapshot, error: describeError(state.left)},
        'rejected a snapshot',
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
      const decoded = this.partSigner.decode(partCodec, record?.value);
      if (
        decoded.kind !== 'good' ||
        decoded.record.snapshot !== manifest.snapshot ||
        decoded.record.part !== index
      ) {
        return E.left(new Error(`part ${index} is missing or damaged`));
      }
      texts.push(decoded.record.data);
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
