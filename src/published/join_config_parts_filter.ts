import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { computeDigest } from "./compute_digest.ts";
import type { ConfigSource } from "./config_source.ts";
import type { PartListReader } from "./part_list_reader.ts";
import type { PlatformReader } from "./platform_reader.ts";
import type { PlatformValue } from "./platform_value.ts";

/**
 * Completes the value `head`: reads the parts that it lists and verifies the digest of all of them, because
 * the platform may serve several values from different points in time.
 */
export class JoinConfigPartsFilter implements Filter<PlatformValue, ConfigSource> {
    constructor(private readonly platform: PlatformReader, private readonly partLists: PartListReader) {}

    async apply(input: PlatformValue): Promise<Result<ConfigSource, Failure>> {
        const { version, content } = input;
        const list = this.partLists.parse(content);
        if (list === undefined) {
            return ok({ version, digest: computeDigest(content), source: content, cause: "platform" });
        }
        const contents: string[] = [];
        for (const name of list.parts) {
            const part = await this.platform.fetchValue(name, 0, 0);
            if (part.isErr()) {
                return err(part.error);
            }
            contents.push(part.value?.content ?? "");
        }
        const source = contents.join("");
        if (computeDigest(source) !== list.digest) {
            const detail = `the parts of version ${version} do not match the digest in its head`;
            return err(createFailure(Code.PlatformBadValue, { detail }));
        }
        return ok({ version, digest: list.digest, source, cause: "platform" });
    }
}
